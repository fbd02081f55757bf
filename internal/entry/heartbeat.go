package entry

import (
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
)

// heartbeat is what sf-control of the same instance told last. Its times are
// of the boot clock, so that they pass while the process is frozen or the
// machine is suspended.
type heartbeat struct {
	at time.Duration
	// version that sf-control holds.
	version int64
	// freshUntil is how long the version may be taken for the newest. It is
	// counted from a time that this process told sf-control, so that a message
	// that lay in a buffer says nothing about now.
	freshUntil time.Duration
	// reason is why sf-control does not take the version for the newest.
	reason string
}

// take keeps a heartbeat. What an earlier one allowed stays allowed.
func (h *heartbeat) take(next heartbeat, inForce int64) {
	if inForce < next.version || next.freshUntil < h.freshUntil {
		next.freshUntil = h.freshUntil
	}
	*h = next
}

// stale returns why no new work may be taken on the configuration in force, or
// nil.
func (h *heartbeat) stale(now, limit time.Duration) error {
	if since := now - h.at; since > limit {
		return errors.Errorf("no heartbeat from sf-control for %s", since.Round(time.Millisecond))
	}
	if now < h.freshUntil {
		return nil
	}
	if h.reason != "" {
		return errors.New("the configuration may be out of date: " + h.reason)
	}
	return errors.New("the configuration may be out of date: sf-control has not said yet that it is the newest")
}

// ready returns why the entry takes no new work, or nil.
func (s *Server) ready() error {
	return s.state.stale(bootclock.Now(), s.settings.StaleAfter)
}

// stale returns why no new work may be taken, or nil.
func (s *state) stale(now, limit time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.doc.Version == 0 {
		return errors.New("no configuration known yet")
	}
	return s.heartbeat.stale(now, limit)
}
