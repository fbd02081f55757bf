package pause

import (
	"context"
	"testing"
	"time"
)

func TestForReturnsFalseWhenTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !For(ctx, time.Millisecond) {
		t.Error("For returned false although the context had not ended")
	}
	time.AfterFunc(time.Millisecond, cancel)
	if For(ctx, time.Hour) {
		t.Error("For returned true although the context had ended")
	}
}
