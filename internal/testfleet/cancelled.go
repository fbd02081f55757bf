package testfleet

import (
	"context"
	"sync"
	"time"
)

// Load of FailuresBesideCancelled.
const (
	cancellingCallers = 16
	cancellingFor     = 2 * time.Second
	// minCallLife is about the time of a call on loopback.
	minCallLife = 200 * time.Microsecond
)

// FailuresBesideCancelled makes calls one after the other, while others make calls that are cancelled about
// when their answers arrive. It returns the errors of the calls that are not cancelled.
func FailuresBesideCancelled(cancelled func(context.Context), call func() error) []error {
	end := time.Now().Add(cancellingFor)
	var callers sync.WaitGroup
	for n := range cancellingCallers {
		callers.Go(func() {
			for life := minCallLife; time.Now().Before(end); life = minCallLife + (life+time.Duration(n)*time.Microsecond)%minCallLife {
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(life, cancel)
				cancelled(ctx)
				cancel()
			}
		})
	}
	var failures []error
	for time.Now().Before(end) {
		if err := call(); err != nil {
			failures = append(failures, err)
		}
	}
	callers.Wait()
	return failures
}
