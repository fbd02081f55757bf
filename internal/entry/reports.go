package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
)

// readPatience is how many periods a read of an engine may take.
const readPatience = 5

// poller reads something of each engine now and then. An engine that does not
// answer holds up no read of the others.
type poller struct {
	every time.Duration
	// engines are those to read.
	engines func() []*config.Engine
	read    func(ctx context.Context, e *config.Engine)

	mu      sync.Mutex // protects reading
	reading map[string]bool
}

// run reads until the context ends.
func (p *poller) run(ctx context.Context) {
	ticker := time.NewTicker(p.every)
	defer ticker.Stop()
	for {
		for _, e := range p.engines() {
			if p.begin(e.ID) {
				go p.one(ctx, e)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *poller) one(ctx context.Context, e *config.Engine) {
	defer p.end(e.ID)
	ctx, cancel := context.WithTimeout(ctx, readPatience*p.every)
	defer cancel()
	p.read(ctx, e)
}

// begin reports whether no read of the engine is under way, and marks one.
func (p *poller) begin(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading[id] {
		return false
	}
	if p.reading == nil {
		p.reading = map[string]bool{}
	}
	p.reading[id] = true
	return true
}

func (p *poller) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reading, id)
}

// reportLoop reads the load reports, and the cache events when they are used.
func (s *Server) reportLoop(ctx context.Context) {
	if s.settings.Routing.Policy.UsesPrefixHints() {
		events := poller{every: s.settings.Routing.EventsEvery, engines: s.state.watched, read: s.readEvents}
		go events.run(ctx)
	}
	reports := poller{every: s.settings.Engine.ReportEvery, engines: s.state.watched, read: s.readReport}
	reports.run(ctx)
}

func (s *Server) readReport(ctx context.Context, e *config.Engine) {
	report, err := s.engineAt(e.Address).Report(ctx)
	defer func() { s.state.measure(s.now()) }()
	if err != nil {
		s.state.meters.reportsFailed.Inc(1)
		return
	}
	s.state.meters.reports.Inc(1)
	s.state.reported(e.ID, report, s.now())
}

func (s *Server) readEvents(ctx context.Context, e *config.Engine) {
	events, err := s.engineAt(e.Address).CacheEvents(ctx, s.state.eventsAfter(e.ID))
	if err == nil {
		s.state.cacheEvents(e.ID, events)
	}
}

// engineAccepted takes the engine's number for a request from its answer, and returns the
// engine's boot; empty when it gave none.
func (s *Server) engineAccepted(id, request string, source engine.Stream) string {
	numbered, ok := source.(engine.Numbered)
	if !ok {
		return ""
	}
	boot, number := numbered.Accepted()
	s.state.accepted(id, request, load.Acceptance{Boot: boot, Number: number})
	return boot
}

// judge records what a call told of an upstream.
func (s *Server) judge(id string, v load.CallResult) {
	if s.state.judge(id, v, s.now()) {
		s.state.meters.ejections.Inc(1)
		s.log.Warn("route: ejected", "upstream", id)
	}
}
