package entry

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"sassafrasfield/internal/admit"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/testfleet"
)

// Guards against a queue position that stays occupied after its caller disconnects: the next request must
// be admitted when there is capacity.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	settings := DefaultSettings()
	settings.Admission.FirstToken, settings.Admission.MaxWait = time.Minute, time.Minute
	a := New(settings, slog.New(slog.DiscardHandler)).admission
	request := func(id string) *completion {
		return &completion{id: id, modelName: "m", organisation: &config.Organisation{Name: "o"}, promptTokens: 10, maxTokens: 10}
	}
	waiting := func(n int) {
		t.Helper()
		err := testfleet.Until(ctx, "the queue has the expected length", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.gateOf("m").gate.Waiting() == n
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	a.mu.Lock()
	a.gateOf("m").gate.SetLimit(1)
	a.mu.Unlock()
	first := request("first")
	if refused := a.acquire(ctx, first, false); refused != nil {
		t.Fatalf("the first request: %+v", refused)
	}
	left := make(chan *admit.Refusal, 1)
	callerCtx, disconnect := context.WithCancel(ctx)
	go func() { left <- a.acquire(callerCtx, request("leaver"), false) }()
	waiting(1)
	disconnect()
	if refused := <-left; refused == nil {
		t.Error("the disconnected caller was admitted")
	}
	waiting(0)
	stayed := make(chan *admit.Refusal, 1)
	go func() { stayed <- a.acquire(ctx, request("stayer"), false) }()
	waiting(1)
	a.release(first)
	if refused := <-stayed; refused != nil {
		t.Errorf("the remaining caller: %+v", refused)
	}
}
