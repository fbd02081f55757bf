package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/reach"
	"sassafrasfield/internal/upstreamstate"
)

const (
	// probeInterval is the time between two probes of a lost path.
	probeInterval = 200 * time.Millisecond
	// minConnectWait is how long a connection must have been attempted for its abandonment to count as a
	// failure of the path: a multiple of the round trip, and below the timeouts of short requests.
	minConnectWait = 150 * time.Millisecond
)

// paths holds what this instance knows about its network paths to the upstreams, by service.
type paths struct {
	log *slog.Logger
	// lost and restored count the paths that were lost and came back.
	lost, restored metrics.Counter
	// wake receives a value when a path is lost.
	wake chan struct{}

	mu        sync.Mutex // protects all below
	byService map[string]*reach.Path
	// nextProbe is the index of the upstream to probe next, by service.
	nextProbe map[string]int
}

func newPaths(log *slog.Logger) *paths {
	return &paths{
		log: log, lost: counter("paths_lost"), restored: counter("paths_restored"), wake: make(chan struct{}, 1),
		byService: map[string]*reach.Path{}, nextProbe: map[string]int{},
	}
}

// of returns the path to a service. The lock is held.
func (p *paths) of(service string) *reach.Path {
	path, ok := p.byService[service]
	if !ok {
		path = reach.New(reach.DefaultSettings())
		p.byService[service] = path
	}
	return path
}

// isLost reports whether the path to a service is lost.
func (p *paths) isLost(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, ok := p.byService[service]
	return ok && path.Lost()
}

// lostServices returns the services to which the path is lost.
func (p *paths) lostServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for service, path := range p.byService {
		if path.Lost() {
			list = append(list, service)
		}
	}
	return list
}

// recordSend records what the result of a send, which began at the given time, shows about the path.
func (r *Relay) recordSend(to upstreamstate.Upstream, began time.Duration, err error) {
	now := r.now()
	switch {
	case err == nil, errors.Is(err, ErrRefused), errors.Is(err, ErrAddressReassigned):
		r.paths.mu.Lock()
		r.paths.of(to.Service).RecordAnswer(to.ID, now)
		r.paths.mu.Unlock()
	case !isPathFailure(err, now-began), r.upstreams.ReportedUnreachable(to.ID, now):
		// An upstream that other instances cannot reach either says nothing about this instance's path.
	default:
		r.recordPathFailure(to, began, now)
	}
}

// isPathFailure reports whether a send failed as it does when the upstream cannot be reached.
func isPathFailure(err error, elapsed time.Duration) bool {
	if errors.Is(err, ErrDeclined) || errors.Is(err, ErrBudgetExhausted) {
		return false // the upstream was not contacted
	}
	return errors.Is(err, ErrConnectTimeout) || errors.Is(err, ErrConnectRefused) || errors.Is(err, ErrUnacknowledged) ||
		errors.Is(err, ErrNotSent) && elapsed >= minConnectWait
}

func (r *Relay) recordPathFailure(to upstreamstate.Upstream, began, now time.Duration) {
	upstreams := r.upstreams.Count(to.Service)
	r.paths.mu.Lock()
	path := r.paths.of(to.Service)
	since := path.Since()
	lost := path.RecordFailure(to.ID, upstreams, began, now)
	failed, answered := path.Evidence()
	r.paths.mu.Unlock()
	if !lost {
		return
	}
	r.paths.lost.Inc(1)
	r.log.Info("relay: path lost", "service", to.Service, "upstreams", upstreams, "failed", failed, "answered", answered,
		"peer_report_age", r.peerReportAge(now), "held", now-since, "forwards", r.mayForward(to.Service))
	select {
	case r.paths.wake <- struct{}{}:
	default: // a wakeup is already pending
	}
	r.notifyChanged()
}

// unreachedFor bounds how long EnginesUnreached is true after a loss: where no instance reaches the engines, one still
// has to do what does not need them.
const unreachedFor = 5 * time.Second

// EnginesUnreached reports whether this instance has recently lost its path to model engines, which other instances
// may reach.
func (r *Relay) EnginesUnreached() bool {
	now := r.now()
	for _, service := range r.paths.lostServices() {
		r.paths.mu.Lock()
		since := r.paths.of(service).Since()
		r.paths.mu.Unlock()
		if now-since < unreachedFor && len(r.upstreams.Engines(now)[service]) > 0 && r.mayForward(service) {
			return true
		}
	}
	return false
}

// ProbePaths probes the lost paths until the context ends.
func (r *Relay) ProbePaths(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.paths.wake:
		}
		for lost := r.paths.lostServices(); len(lost) > 0 && pause.For(ctx, probeInterval); lost = r.paths.lostServices() {
			var probes sync.WaitGroup
			for _, service := range lost {
				probes.Go(func() { r.probePath(ctx, service) })
			}
			probes.Wait()
		}
	}
}

// probePath opens a connection to the next upstream of a service.
func (r *Relay) probePath(ctx context.Context, service string) {
	upstreams := r.upstreams.Upstreams(service)
	r.paths.mu.Lock()
	path, next := r.paths.of(service), r.paths.nextProbe[service]
	r.paths.nextProbe[service] = next + 1
	if len(upstreams) == 0 {
		path.Forget(r.now())
	}
	r.paths.mu.Unlock()
	if len(upstreams) == 0 {
		return
	}
	reached := r.reaches(ctx, upstreams[next%len(upstreams)])
	now := r.now()
	r.paths.mu.Lock()
	since := path.Since()
	restored := path.RecordProbe(reached, len(upstreams), now)
	r.paths.mu.Unlock()
	if restored {
		r.paths.restored.Inc(1)
		r.log.Info("relay: path restored", "service", service, "upstreams", len(upstreams), "lost_for", now-since)
		r.notifyChanged()
	}
}
