package entry

import (
	"github.com/pkg/errors"

	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/stream"
)

// gaveUp returns the truthful refusal of an answer that no engine finished.
func (s *Server) gaveUp(comp *completion, word outcome.Outcome, last error) error {
	switch {
	case errors.Is(last, errSetApart) && word == outcome.NotRun:
		return setApart()
	case comp.resume == nil && word == outcome.NotRun:
		return notRun("no_engine", "no engine can take the request now", defaultRetryIn)
	case errors.Is(last, stream.ErrDiverged):
		return unknown("cannot_resume", "the engine made another text than the one received; ask again from the start")
	case !s.servesVersion(comp):
		return unknown("cannot_resume", "the model's version that made the first part is not served any more; ask again from the start")
	}
	refused := unknown("engine_failed", "no engine could finish the answer now; resume with Last-Event-ID")
	refused.retryIn = defaultRetryIn
	return refused
}

// servesVersion tells whether any engine has loaded what the answer began
// with.
func (s *Server) servesVersion(comp *completion) bool {
	for _, e := range s.state.config().Engines {
		if e.Loaded.Model == comp.name && (comp.version == "" || e.Loaded.Version == comp.version) {
			return true
		}
	}
	return false
}
