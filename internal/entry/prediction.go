package entry

import (
	"time"

	"sassafrasfield/internal/admit"
	"sassafrasfield/internal/placement"
)

// predict returns the time to the first token of a request that goes on now.
// The lock is held.
func (a *admission) predict(comp *completion, g *modelGate) admit.Prediction {
	loads := a.server.state.engineLoads(&placement.Request{
		Model: comp.name, Adapter: comp.adapter, Version: comp.version,
		Prompt: placement.Prompt{Tokens: comp.promptTokens}, Prefix: a.server.prefix(comp), Now: a.server.now(),
	})
	return admit.Predict(loads, comp.promptTokens, g.gate.ServiceTime())
}

// predictor predicts for those who wait at a gate. The lock is held.
func (a *admission) predictor(g *modelGate) func(admit.Ticket) admit.Prediction {
	return func(t admit.Ticket) admit.Prediction {
		comp := g.waiting[t.ID].comp
		prediction := a.predict(comp, g)
		comp.expect(prediction, a.server.now())
		return prediction
	}
}

// expect keeps the newest prediction, until the request is admitted by it.
func (c *completion) expect(p admit.Prediction, now time.Duration) {
	c.expected = 0
	if p.Known {
		c.expected = now + p.FirstToken
	}
}

// firstToken records that the first token of a request came.
func (a *admission) firstToken(comp *completion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(comp, a.server.now())
}

// observe compares the prediction with what came. The lock is held.
func (a *admission) observe(comp *completion, now time.Duration) {
	if comp.expected > 0 {
		a.gateOf(comp.name).gate.Observe(now-comp.expected, now)
	}
	comp.expected = 0
}

// engineLoads returns the picture of the engines that could make the request's
// first token.
func (s *state) engineLoads(req *placement.Request) []admit.EngineLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone, req.Draining, req.Phase = s.zone, s.leaving, placement.PhasePrefill
	var loads []admit.EngineLoad
	for _, c := range s.scheduler.Eligible(req, s.candidates(req.Now)) {
		loads = append(loads, engineLoad(req, c))
	}
	return loads
}

func engineLoad(req *placement.Request, c placement.Candidate) admit.EngineLoad {
	report := &c.Load.Report
	byNow := c.Load.Estimated(req.Now)
	return admit.EngineLoad{
		QueuedPrefillTokens: byNow.PrefillTokens, PrefillRate: report.PrefillRate,
		CachedTokens: placement.CachedTokens(req, c),
		Running:      report.Running, Waiting: byNow.Waiting, UnreportedPlacements: c.Load.Charges(),
		BlocksFree: report.KVBlocksFree, BlocksTotal: report.KVBlocksTotal,
	}
}
