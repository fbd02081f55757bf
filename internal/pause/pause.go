// Package pause provides a sleep that ends early when a context does.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false if the context ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
