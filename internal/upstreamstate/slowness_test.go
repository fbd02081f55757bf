package upstreamstate

import (
	"testing"
	"time"
)

// TestSlowUpstreamOfPlainServiceIsAvoided guards against figures that are received and not used, and against an upstream
// that stays avoided after it has become as fast as the others.
func TestSlowUpstreamOfPlainServiceIsAvoided(t *testing.T) {
	s := New(Settings{Zone: "a"})
	for _, id := range []string{"u1", "u2"} {
		s.UpdateUpstream(Upstream{ID: id, Service: "app", Zone: "a"})
	}
	pick := func(now time.Duration) map[string]int {
		chosen := map[string]int{}
		for range 20 {
			u, _ := s.PickServiceUpstream(PlacementRequest{ID: "r", Service: "app"}, now)
			s.RequestDone(u.ID, "r", now)
			chosen[u.ID]++
		}
		return chosen
	}
	s.SetReportedLoad("u1", Load{Known: true, Slots: 6, Slowness: 2.5}, time.Second)
	if chosen := pick(time.Second); chosen["u1"] > 0 {
		t.Errorf("chosen while u1 is slow: %v", chosen)
	}
	if chosen := pick(time.Minute); chosen["u1"] == 0 {
		t.Errorf("chosen a minute after u1 was slow: %v", chosen)
	}
}
