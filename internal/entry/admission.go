package entry

import (
	"context"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/admit"
	"sassafrasfield/internal/placement"
)

// admission holds the admission gate of each model. It is safe for concurrent use.
type admission struct {
	settings AdmissionSettings
	server   *Server
	meters   *admissionMeters

	mu      sync.Mutex // protects the fields below
	entries int
	gates   map[string]*modelGate
}

// modelGate is the admission gate of one model, with the requests that wait in its queue by ID.
type modelGate struct {
	gate    *admit.Gate
	waiting map[string]*waiter
}

// waiter is a request in the queue. Its channel is buffered for the one verdict that it receives: nil
// admits the request.
type waiter struct {
	comp    *completion
	verdict chan *admit.Refusal
}

func newAdmission(s AdmissionSettings, server *Server) *admission {
	return &admission{
		settings: s, server: server, meters: newAdmissionMeters(metrics.DefaultRegistry),
		entries: 1, gates: map[string]*modelGate{},
	}
}

// admissionMeters are the gauges of admission, summed over all models.
type admissionMeters struct {
	inFlight, waiting, limit, entries metrics.Gauge
}

func newAdmissionMeters(registry metrics.Registry) *admissionMeters {
	return &admissionMeters{
		inFlight: metrics.GetOrRegisterGauge("admit.in_flight", registry),
		waiting:  metrics.GetOrRegisterGauge("admit.waiting", registry),
		limit:    metrics.GetOrRegisterGauge("admit.limit", registry),
		entries:  metrics.GetOrRegisterGauge("admit.entries", registry),
	}
}

// admit admits a request, possibly after a wait in the queue, or returns a refusal. Each admitted request
// must be passed to admission.release.
func (s *Server) admit(c *echo.Context, comp *completion) error {
	resumed := comp.resume != nil
	if err := s.withinRate(c, comp.organisation, resumed); err != nil {
		return err
	}
	refused := s.admission.acquire(c.Request().Context(), comp, resumed)
	if refused == nil {
		return nil
	}
	s.countRefusedDemand(comp)
	s.log.Debug("admit: refused", "request", comp.id, "reason", refused.Reason)
	return admissionRefusal(refused)
}

func admissionRefusal(r *admit.Refusal) error {
	messages := map[admit.Reason]string{
		admit.ReasonDeadline:         "the first token can't come before the deadline",
		admit.ReasonDeadlineTooShort: "not even an idle engine could make the deadline",
		admit.ReasonQueueFull:        "the queue is full",
		admit.ReasonQueueTimeout:     "no engine had room in the longest wait",
	}
	refused := notRun(string(r.Reason), messages[r.Reason], max(r.RetryIn, time.Millisecond))
	if r.Reason == admit.ReasonDeadlineTooShort {
		refused.retryAfter = 0
	}
	return refused
}

// acquire returns nil once the request is admitted. If the caller disconnects while its request waits,
// acquire returns a refusal, which is not delivered to anyone.
func (a *admission) acquire(ctx context.Context, comp *completion, resumed bool) *admit.Refusal {
	now := a.server.now()
	comp.admittedAt = now
	if resumed {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.gateOf(comp.modelName).gate.AdmitUnconditionally()
		return nil
	}
	ticket, w, refused := a.arrive(comp, now)
	if refused != nil || w == nil {
		return refused
	}
	return a.awaitVerdict(ctx, ticket, w)
}

// arrive passes a request to the gate of its model. The waiter is nil if the request is admitted or
// refused at once.
func (a *admission) arrive(comp *completion, now time.Duration) (admit.Ticket, *waiter, *admit.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gateOf(comp.modelName)
	prediction := a.predict(comp, g)
	ticket := a.ticket(comp, prediction, now)
	decision, refusals := g.gate.Arrive(ticket, prediction, now)
	for _, r := range refusals {
		if r.ID == ticket.ID {
			return ticket, nil, &r
		}
		g.notify(r.ID, &r)
	}
	if decision == admit.Admitted {
		comp.setExpected(prediction, now)
		return ticket, nil, nil
	}
	w := &waiter{comp: comp, verdict: make(chan *admit.Refusal, 1)}
	g.waiting[ticket.ID] = w
	return ticket, w, nil
}

// awaitVerdict waits until the request gets its verdict, its wait deadline passes or the caller
// disconnects.
func (a *admission) awaitVerdict(ctx context.Context, ticket admit.Ticket, w *waiter) *admit.Refusal {
	a.mu.Lock()
	latest := a.gateOf(w.comp.modelName).gate.WaitDeadline(ticket)
	a.mu.Unlock()
	timer := time.NewTimer(latest - a.server.now())
	defer timer.Stop()
	select {
	case refused := <-w.verdict:
		w.comp.admittedAt = a.server.now()
		return refused
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.cancelWait(ticket, w)
}

// cancelWait removes a waiting request from the queue, unless it has got its verdict already.
func (a *admission) cancelWait(ticket admit.Ticket, w *waiter) *admit.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gateOf(w.comp.modelName)
	if !g.gate.Cancel(ticket.ID) {
		w.comp.admittedAt = a.server.now()
		return <-w.verdict
	}
	delete(g.waiting, ticket.ID)
	refusal := g.gate.TimeoutRefusal(ticket, a.server.now())
	return &refusal
}

// release records the end of an admitted request.
func (a *admission) release(comp *completion) {
	now := a.server.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gateOf(comp.modelName)
	if now > comp.expectedFirstToken {
		a.observe(comp, now) // no token came: the delay is at least this long
	}
	g.gate.Done(now - comp.admittedAt)
	a.grant(g, now)
}

// reviewLoop calls review periodically until the context is cancelled.
func (a *admission) reviewLoop(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.review()
		}
	}
}

// review updates the concurrency limits from the current load of the engines, refuses the waiting requests
// that can no longer meet their deadline, and admits requests for which there is capacity.
func (a *admission) review() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.server.now()
	inFlight, waiting, limit := 0, 0, 0
	for name, g := range a.gates {
		if a.settings.LimitConcurrency {
			loads := a.server.state.engineLoads(&placement.Request{Model: name, Now: now})
			g.gate.SetLimit(admit.ConcurrencyLimit(loads, g.gate.InFlight(), a.entries))
		}
		refusals := g.gate.RefuseLate(now, a.predictor(g))
		for _, r := range refusals {
			g.notify(r.ID, &r)
		}
		a.grant(g, now)
		inFlight += g.gate.InFlight()
		waiting += g.gate.Waiting()
		limit += g.gate.Limit()
	}
	a.meters.inFlight.Update(int64(inFlight))
	a.meters.waiting.Update(int64(waiting))
	a.meters.limit.Update(int64(limit))
}

// setEntries sets the number of entries that share the engines.
func (a *admission) setEntries(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = max(1, n)
	a.meters.entries.Update(int64(a.entries))
}

// gateOf returns the gate of a configured model. The caller must hold a.mu.
func (a *admission) gateOf(model string) *modelGate {
	g, ok := a.gates[model]
	if !ok {
		rules := admit.Rules{
			MaxQueue: a.settings.MaxQueue, MaxWait: a.settings.MaxWait,
			MaxBacklog: a.settings.Backlog, PriorityCredit: float64(a.settings.PriorityCredit),
			EarlyRefusal: a.settings.EarlyRefusal,
		}
		g = &modelGate{gate: admit.NewGate(rules), waiting: map[string]*waiter{}}
		a.gates[model] = g
	}
	return g
}

func (a *admission) ticket(comp *completion, p admit.Prediction, now time.Duration) admit.Ticket {
	deadline := comp.deadline
	if deadline == 0 {
		deadline = max(2*p.UncachedPrefillTime, time.Duration(a.settings.Slack*float64(a.settings.FirstToken)))
	}
	return admit.Ticket{
		ID: comp.id, Organisation: comp.organisation.Name, Share: comp.organisation.Share,
		Priority: comp.priority, Work: float64(comp.promptTokens + comp.maxTokens),
		Arrived: now, Deadline: now + deadline, PrefillTime: p.PrefillTime,
	}
}

// grant notifies the requests that the gate admits. The caller must hold a.mu.
func (a *admission) grant(g *modelGate, now time.Duration) {
	for _, t := range g.gate.Grant(now, a.predictor(g)) {
		g.notify(t.ID, nil)
	}
}

func (g *modelGate) notify(id string, refused *admit.Refusal) {
	g.waiting[id].verdict <- refused
	delete(g.waiting, id)
}
