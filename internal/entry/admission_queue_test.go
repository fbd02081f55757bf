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

// A caller that leaves while its request waits frees its place in the queue;
// the next one is admitted when there is room.
func TestQueuedCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	settings := DefaultSettings()
	settings.Admission.FirstToken, settings.Admission.MaxWait = time.Minute, time.Minute
	a := New(settings, slog.New(slog.DiscardHandler)).admission
	request := func(id string) *completion {
		return &completion{id: id, name: "m", organisation: &config.Organisation{Name: "o"}, promptTokens: 10, maxTokens: 10}
	}
	waiting := func(n int) {
		t.Helper()
		err := testfleet.Until(ctx, "the queue has its length", func() bool {
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
	if refused := a.enter(ctx, first, false); refused != nil {
		t.Fatalf("the first request: %+v", refused)
	}
	left := make(chan *admit.Refusal, 1)
	leaving, leave := context.WithCancel(ctx)
	go func() { left <- a.enter(leaving, request("leaver"), false) }()
	waiting(1)
	leave()
	if refused := <-left; refused == nil {
		t.Error("the caller that left was admitted")
	}
	waiting(0)
	stayed := make(chan *admit.Refusal, 1)
	go func() { stayed <- a.enter(ctx, request("stayer"), false) }()
	waiting(1)
	a.done(first)
	if refused := <-stayed; refused != nil {
		t.Errorf("the caller that stayed: %+v", refused)
	}
}
