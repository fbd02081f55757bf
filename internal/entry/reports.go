package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
)

// maxReadPeriods is the timeout of a read from an engine, in polling periods.
const maxReadPeriods = 5

// poller reads from each engine periodically. An engine that does not answer does not delay the reads from
// the others.
type poller struct {
	every time.Duration
	// engines returns the engines to read from.
	engines func() []*config.Engine
	read    func(ctx context.Context, e *config.Engine)

	mu      sync.Mutex // protects reading
	reading map[string]bool
}

// run polls until the context is cancelled.
func (p *poller) run(ctx context.Context) {
	ticker := time.NewTicker(p.every)
	defer ticker.Stop()
	for {
		for _, e := range p.engines() {
			if p.tryStart(e.ID) {
				go p.readOne(ctx, e)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *poller) readOne(ctx context.Context, e *config.Engine) {
	defer p.finish(e.ID)
	ctx, cancel := context.WithTimeout(ctx, maxReadPeriods*p.every)
	defer cancel()
	p.read(ctx, e)
}

// tryStart marks a read of the engine as in progress, and returns false if one already was.
func (p *poller) tryStart(id string) bool {
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

func (p *poller) finish(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reading, id)
}

// reportLoop polls the engines' load reports, and their cache events if the routing policy uses them.
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
	defer func() { s.state.updateGauges(s.now()) }()
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

// recordAcceptance records the sequence number that the engine gave a request, and returns the engine's
// boot ID. It returns an empty string if the engine gave no number.
func (s *Server) recordAcceptance(id, request string, source engine.Stream) string {
	numbered, ok := source.(engine.NumberedStream)
	if !ok {
		return ""
	}
	boot, number := numbered.Accepted()
	s.state.accepted(id, request, load.Acceptance{Boot: boot, Number: number})
	return boot
}

// recordCall records the result of a call to an upstream for its health, and logs an ejection.
func (s *Server) recordCall(id string, result load.CallResult) {
	if s.state.recordCall(id, result, s.now()) {
		s.state.meters.ejections.Inc(1)
		s.log.Warn("route: ejected", "upstream", id)
	}
}
