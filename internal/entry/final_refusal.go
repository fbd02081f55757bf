package entry

import (
	"github.com/pkg/errors"

	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/stream"
)

// finalRefusal returns the refusal of an answer that no engine completed. The result covers all attempts:
// it says whether any of them may have run the request.
func (s *Server) finalRefusal(comp *completion, result outcome.Outcome, last error) error {
	var quarantined quarantinedError
	switch {
	case errors.As(last, &quarantined) && result == outcome.NotRun:
		return quarantineRefusal(quarantined.subject)
	case comp.resume == nil && result == outcome.NotRun:
		return notRun("no_engine", "no engine can take the request now", defaultRetryAfter)
	case errors.Is(last, stream.ErrDiverged):
		return unknownOutcome("cannot_resume", "the engine made another text than the one received; ask again from the start")
	case !s.servesVersion(comp):
		return unknownOutcome("cannot_resume", "the model's version that made the first part is not served any more; ask again from the start")
	}
	refused := unknownOutcome("engine_failed", "no engine could finish the answer now; resume with Last-Event-ID")
	refused.retryAfter = defaultRetryAfter
	return refused
}

// servesVersion reports whether any engine has loaded the model version with which the answer began.
func (s *Server) servesVersion(comp *completion) bool {
	for _, e := range s.state.config().Engines {
		if e.Loaded.Model == comp.modelName && (comp.version == "" || e.Loaded.Version == comp.version) {
			return true
		}
	}
	return false
}
