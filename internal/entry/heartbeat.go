package entry

import (
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
)

// heartbeat is the last heartbeat of the instance's sf-control. Its times are on the boot clock, so that
// they also advance while the process is frozen or the machine is suspended.
type heartbeat struct {
	at time.Duration
	// version of the configuration that sf-control holds.
	version int64
	// freshUntil is the time until which the version may be assumed to be the newest. It is relative to a
	// clock reading that this process sent to sf-control, so that a message that was delayed in a buffer
	// does not make the configuration look fresh.
	freshUntil time.Duration
	// reason is why sf-control cannot confirm that the version is the newest.
	reason string
}

// update replaces the heartbeat. It keeps the freshUntil of an earlier heartbeat if that is later, or if
// the version of the new heartbeat is not in force yet.
func (h *heartbeat) update(next heartbeat, inForce int64) {
	if inForce < next.version || next.freshUntil < h.freshUntil {
		next.freshUntil = h.freshUntil
	}
	*h = next
}

// checkFresh returns an error that says why no new work may be accepted with the current configuration, or
// nil.
func (h *heartbeat) checkFresh(now, limit time.Duration) error {
	if since := now - h.at; since > limit {
		return errors.Errorf("no heartbeat from sf-control for %s", since.Round(time.Millisecond))
	}
	if now < h.freshUntil {
		return nil
	}
	if h.reason != "" {
		return errors.New("the configuration may be out of date: " + h.reason)
	}
	return errors.Errorf("the configuration may be out of date: sf-control has not said yet that it is the newest; it said so until %s ago, in a heartbeat of %s ago",
		(now - h.freshUntil).Round(time.Millisecond), (now - h.at).Round(time.Millisecond))
}

// checkReady returns an error that says why the entry accepts no new work, or nil.
func (s *Server) checkReady() error {
	return s.state.checkFresh(bootclock.Now(), s.settings.StaleAfter)
}

// checkFresh returns an error that says why no new work may be accepted, or nil.
func (s *state) checkFresh(now, limit time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.doc.Version == 0 {
		return errors.New("no configuration known yet")
	}
	return s.heartbeat.checkFresh(now, limit)
}
