package entry

import (
	"time"

	"sassafrasfield/internal/admit"
	"sassafrasfield/internal/placement"
)

// predict predicts the time to the first token of a request if it is admitted now. The caller must hold
// a.mu.
func (a *admission) predict(comp *completion, g *modelGate) admit.Prediction {
	loads := a.server.state.engineLoads(&placement.Request{
		Model: comp.modelName, Adapter: comp.adapter, Version: comp.version,
		Prompt: placement.Prompt{Tokens: comp.promptTokens}, Prefix: a.server.prefix(comp), Now: a.server.now(),
	})
	return admit.Predict(loads, comp.promptTokens, g.gate.ServiceTime())
}

// predictor returns a function that predicts for the requests that wait at a gate. The function must be
// called with a.mu held.
func (a *admission) predictor(g *modelGate) func(admit.Ticket) admit.Prediction {
	return func(t admit.Ticket) admit.Prediction {
		comp := g.waiting[t.ID].comp
		prediction := a.predict(comp, g)
		comp.setExpected(prediction, a.server.now())
		return prediction
	}
}

// setExpected stores the latest prediction. The one that applies is the last before the admission.
func (c *completion) setExpected(p admit.Prediction, now time.Duration) {
	c.expectedFirstToken = 0
	if p.Known {
		c.expectedFirstToken = now + p.FirstToken
	}
}

// firstToken records the arrival of a request's first token.
func (a *admission) firstToken(comp *completion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(comp, a.server.now())
}

// observe compares the predicted time of the first token with the actual one. The caller must hold a.mu.
func (a *admission) observe(comp *completion, now time.Duration) {
	if comp.expectedFirstToken > 0 {
		a.gateOf(comp.modelName).gate.Observe(now-comp.expectedFirstToken, now)
	}
	comp.expectedFirstToken = 0
}

// engineLoads returns the loads of the engines that are eligible to generate the request's first token.
func (s *state) engineLoads(req *placement.Request) []admit.EngineLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone, req.Draining, req.Phase = s.zone, s.draining, placement.PhasePrefill
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
