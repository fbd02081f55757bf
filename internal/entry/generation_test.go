package entry

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/service"
)

// refusingEngine refuses all requests.
type refusingEngine struct {
	engine.Engine
	versions []string
}

func (e *refusingEngine) Generate(_ context.Context, r engine.Request) (engine.Stream, error) {
	e.versions = append(e.versions, r.Version)
	return nil, errors.WithMessage(engine.ErrNotRun, "no capacity")
}

// TestRefusedRequestMayRunAtAnotherVersion guards against a request that stays bound to the model version of an engine
// that did not run it: during a change of the version, that engine may have been the last one of its version.
func TestRefusedRequestMayRunAtAnotherVersion(t *testing.T) {
	for requested, want := range map[string]int{"": 2, "1": 1} {
		settings := DefaultSettings()
		settings.Instance, settings.Zone = "inst-1", "hall-a"
		s := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
		document := &config.Config{Version: 1}
		var engines []*refusingEngine
		for _, version := range []string{"1", "2"} {
			document.Engines = append(document.Engines, config.Engine{
				ID: "e" + version, Address: "e" + version, Pool: "p", Routing: config.RoutingServing,
				Loaded: config.EngineState{Model: "m", Version: version, Role: config.RoleMixed},
			})
			e := &refusingEngine{}
			s.engines["e"+version], engines = e, append(engines, e)
		}
		s.state.apply(document, nil, heartbeat{at: time.Second})
		comp := &completion{id: "r", modelName: "m", version: requested, requestedVersion: requested, prompt: "p", promptTokens: 1, maxTokens: 2}
		err := s.answer(context.Background(), comp, nil)
		var refused *refusal
		if !errors.As(err, &refused) || refused.body.Outcome != callerapi.OutcomeNotRun {
			t.Errorf("version %q: %v", requested, err)
		}
		if sends := len(engines[0].versions) + len(engines[1].versions); sends != want {
			t.Errorf("version %q: sent at versions %v and %v, want %d sends", requested, engines[0].versions, engines[1].versions, want)
		}
	}
}

// TestRequestWithoutAnAttemptIsNotAnswered guards against a request that was never sent, as its context had ended, and counts
// as answered: a completion without text, or an answer of a plain service with the status 0.
func TestRequestWithoutAnAttemptIsNotAnswered(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	settings := DefaultSettings()
	settings.Instance, settings.Zone = "inst-1", "hall-a"
	s := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := s.answer(ctx, &completion{id: "r", modelName: "m"}, nil); !errors.Is(err, errCallerDisconnected) {
		t.Errorf("completion: %v", err)
	}
	for _, repeatable := range []bool{false, true} {
		if answer, err := s.tryCall(ctx, &config.Service{}, service.Call{}, repeatable); !errors.Is(err, service.ErrNotRun) {
			t.Errorf("call, repeatable %t: status %d, %v", repeatable, answer.Status, err)
		}
	}
}
