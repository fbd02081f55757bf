package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/ownlink"
	"sassafrasfield/internal/routes"
)

// Forwarded is a request that one instance forwards to another one, because it has no path to the upstreams.
type Forwarded struct {
	Request *Request
	// From names the instance that forwards, once received.
	From string
	// Service is the hash of the service that the request goes to.
	Service uint32
	// Timeout is how much longer the caller is kept waiting, Elapsed how long it has waited.
	Timeout, Elapsed time.Duration
	// ConfigVersion is the version of the configuration by which the request was admitted.
	ConfigVersion int64
	// History is what the forwarding instance did for the request.
	History attempt.History
	// UsageCounted is whether the request's run was counted.
	UsageCounted bool
	// Version is the software version at which the request has to be served; empty for any.
	Version string
	// Repeatable is whether the forwarding instance may send the request again after its outcome was lost.
	Repeatable bool
}

// Forwarder forwards requests to other instances.
type Forwarder interface {
	// Available reports whether an instance is known that may serve requests to a service, by the hash of its
	// name. It does not block.
	Available(service uint32) bool
	// Forward has an instance serve a request, other than those whose names are excluded. It returns the
	// instance's name, and its answer once that begins. The error is ErrNoInstance, ErrNotSent, a
	// *PeerRefusal, or ErrNoValidAnswer if the request may have run.
	Forward(ctx context.Context, f *Forwarded, excluded map[string]bool) (instance string, reply *Reply, err error)
}

// ErrNoInstance is the ErrNotSent of a request for which no instance is left to forward it to.
var ErrNoInstance = errors.WithMessage(ErrNotSent, "no instance to forward to")

// PeerRefusal is the refusal of a request by the instance that it was forwarded to.
type PeerRefusal struct {
	Refusal *Refusal
	// History includes that of the forwarded request.
	History attempt.History
}

// Error implements error.
func (r *PeerRefusal) Error() string { return "refused by another instance: " + r.Refusal.Reason }

// forwardMeters counts the forwarded requests: those sent to other instances, answered and refused by them, and
// lost; and those received from other instances, with the refused ones among them.
type forwardMeters struct {
	sent, answered, refused, lost, received, rejected metrics.Counter
}

func newForwardMeters() forwardMeters {
	return forwardMeters{
		sent: counter("forwards"), answered: counter("forwards_answered"), refused: counter("forwards_refused"),
		lost: counter("forwards_lost"), received: counter("forwards_received"), rejected: counter("forwards_rejected"),
	}
}

// SetForwarder sets how requests are forwarded. It is called before the relay serves.
func (r *Relay) SetForwarder(f Forwarder) { r.forwarder = f }

// mayForward reports whether requests to a service can be forwarded.
func (r *Relay) mayForward(service string) bool {
	return r.forwarder != nil && r.forwarder.Available(serviceHash(service))
}

// maxForwards bounds the instances that one request is forwarded to, one after the other.
const maxForwards = 4

// shouldForward reports whether a request is to be served by another instance.
func (r *Relay) shouldForward(x *exchange) bool {
	return (r.paths.isLost(x.service) || blamesLink(r.Impairment())) && r.canForward(x)
}

// canForward reports whether a request can be served by another instance. An instance that got it by forwarding
// does not forward it again, and a run that continues at its copy is known here only.
func (r *Relay) canForward(x *exchange) bool {
	return !x.forwarded && x.forwards < maxForwards && x.attempts.Backup() == "" && r.mayForward(x.service)
}

// blamesLink reports whether an impairment says that this instance's requests reach no upstream. Other instances
// can serve them if they are reached.
func blamesLink(reason ownlink.Impairment) bool {
	return reason == ownlink.Saturated || reason == ownlink.Isolated
}

// forward has another instance serve a request, from after lastEvent on. Status Done means that the answer has
// begun.
func (r *Relay) forward(ctx context.Context, x *exchange, lastEvent string) (*Reply, attempt.Result) {
	now := r.now()
	f := &Forwarded{
		Request: x.req, Service: serviceHash(x.service), Timeout: x.remaining(now), Elapsed: now - x.arrived,
		ConfigVersion: x.version, History: x.attempts.History(), UsageCounted: x.counted,
		Version: x.requires.version, Repeatable: x.attempts.MayRunElsewhere(),
	}
	if lastEvent != x.req.LastEvent {
		resumed := *x.req
		resumed.LastEvent, resumed.Resumes = lastEvent, x.req.streamID()
		f.Request = &resumed
	}
	if err := x.attempts.Sent(); err != nil {
		return nil, attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	x.forwards++
	r.meters.forwards.sent.Inc(1)
	instance, reply, err := r.forwarder.Forward(ctx, f, x.attempts.Excluded())
	x.via = instance
	observe("forward", r.now()-now)
	if err != nil {
		return nil, r.forwardFailed(x, instance, err)
	}
	r.meters.forwards.answered.Inc(1)
	return reply, attempt.Result{Status: attempt.Done}
}

// forwardFailed returns the result of a request that another instance did not answer.
func (r *Relay) forwardFailed(x *exchange, instance string, err error) attempt.Result {
	r.log.Info("relay: forward failed", "request", x.req.ID, "instance", instance, "try", x.attempts.Sends(),
		"error", err, "after", r.now()-x.arrived)
	var refused *PeerRefusal
	if !errors.As(err, &refused) {
		if !errors.Is(err, ErrNotSent) {
			r.meters.forwards.lost.Inc(1)
		}
		if errors.Is(err, ErrNoInstance) {
			x.forwards = maxForwards
		}
		result := failedAttempt(instance, err)
		result.Declined = result.Unsent // no upstream has failed, so there is no reason to wait
		return result
	}
	r.meters.forwards.refused.Inc(1)
	x.attempts.Merge(refused.History)
	if refused.Refusal.Elsewhere {
		return attempt.Result{Status: attempt.Refused, Upstream: instance, Unsent: true, Declined: true, Err: err}
	}
	x.peerRefusal = refused.Refusal
	if refused.Refusal.ranNothing() {
		x.attempts.Failed(instance, true, err)
	}
	return attempt.Result{Status: attempt.NoUpstream, Err: err}
}

// ranNothing reports whether a refusal says that nothing ran.
func (r *Refusal) ranNothing() bool { return r.Outcome != Unknown && r.Outcome != TimedOut }

// forwardCall has another instance serve a call.
func (c *serviceCall) forwardCall(ctx context.Context) attempt.Result {
	reply, result := c.relay.forward(ctx, c.exchange, c.req.LastEvent)
	if result.Status != attempt.Done {
		return result
	}
	return c.relay.deliverForwarded(ctx, c.w, c.exchange, reply)
}

// deliverForwarded writes an answer from another instance, that is not streamed, to the caller.
func (r *Relay) deliverForwarded(ctx context.Context, w http.ResponseWriter, x *exchange, reply *Reply) attempt.Result {
	answer, err := readHead(x, reply)
	if err != nil {
		reply.Body.Close()
		if callerLeft(ctx) {
			return attempt.Result{Status: attempt.Done, Err: ErrCallerDisconnected}
		}
		return failedAttempt(x.via, WrapReadError(err))
	}
	return attempt.Result{Status: attempt.Done, Err: r.deliver(w, x, answer)}
}

// forwardGeneration has another instance deliver the rest of a generated answer.
func (g *generation) forwardGeneration(ctx context.Context) attempt.Result {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	reply, result := g.relay.forward(streamCtx, g.exchange, g.lastEvent)
	if result.Status != attempt.Done {
		return result
	}
	if reply.Status != http.StatusOK && !g.headerSent {
		return g.relay.deliverForwarded(ctx, g.w, g.exchange, reply)
	}
	defer reply.Body.Close()
	if reply.Status != http.StatusOK {
		return failedAttempt(g.via, errors.WithMessagef(ErrNoValidAnswer, "the engine answered %d", reply.Status))
	}
	g.begin(reply, reply.Version)
	forwarder := g.newForwarder(cancel, g.watchForwarded(reply, cancel))
	err := forwarder.forward(reply.Body)
	g.recordEvents(forwarder)
	switch {
	case err == nil:
		return attempt.Result{Status: attempt.Done}
	case errors.Is(err, ErrCallerDisconnected) || callerLeft(ctx):
		return attempt.Result{Status: attempt.Done, Err: ErrCallerDisconnected}
	case errors.Is(err, ErrSuperseded):
		return attempt.Result{Status: attempt.Done, Err: ErrSuperseded}
	default:
		return g.interrupted(g.via, WrapReadError(err))
	}
}

// ServeForwarded serves a request for another instance, which has admitted it: it granted the quota and credited
// the retry budget. The error is that of Serve. The history includes that of the forwarded request.
func (r *Relay) ServeForwarded(ctx context.Context, f *Forwarded, w http.ResponseWriter) (attempt.History, error) {
	r.meters.forwards.received.Inc(1)
	defer r.forwardedInFlight.Add(-1)
	if refusal := r.refuseForwarded(f, int(r.forwardedInFlight.Add(1))); refusal != nil {
		r.meters.forwards.rejected.Inc(1)
		r.log.Info("relay: forwarded request rejected", "request", f.Request.ID, "from", f.From, "reason", refusal.Reason)
		return f.History, refusal
	}
	x, err := r.newExchange(f.Request)
	if err == nil {
		x.forwarded, x.from, x.counted = true, f.From, f.UsageCounted
		x.arrived -= f.Elapsed
		x.deadline = min(x.deadline, r.now()+f.Timeout)
		x.attempts = attempt.Resume(r.attemptRules(x.route), f.History)
		x.requires = requiredVersion{version: f.Version, source: versionFromForwarder}
		err = r.refuse(x)
	}
	if err == nil {
		err = r.refuseLate(x)
	}
	if err != nil {
		r.finish(x, f.Request, err)
		return f.History, err
	}
	ctx, release := r.stopping.untilGraceOver(ctx)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, x.remaining(r.now()))
	defer cancel()
	if err = r.requireBegunVersion(ctx, x); err == nil {
		err = r.serveHolding(ctx, cancel, x, w)
	}
	r.finish(x, f.Request, err)
	return x.attempts.History(), err
}

// refuseForwarded returns the refusal of a forwarded request that another instance should serve, and nil if this
// one can. The number of forwarded requests includes this one.
func (r *Relay) refuseForwarded(f *Forwarded, inFlight int) *Refusal {
	table, _ := r.upstreams.Routes(r.now())
	reason := string(r.Impairment())
	switch {
	case reason != "":
	case r.closed.Load():
		reason = "stopping"
	case inFlight > r.settings.MaxForwarded:
		reason = "too many forwarded requests"
	case table.Version < f.ConfigVersion:
		reason = "the configuration is behind"
	case r.isServiceLost(f.Service):
		reason = "no path to the upstreams"
	default:
		return nil
	}
	return &Refusal{Outcome: NotRun, Reason: reason, RetryIn: r.retryElsewhereIn(f.Timeout), Elsewhere: true}
}

// Reaches reports whether this instance has a path to a service, by the hash of the service's name.
func (r *Relay) Reaches(service uint32) bool { return !r.Impaired() && !r.isServiceLost(service) }

// isServiceLost reports whether the path to a service is lost, by the hash of the service's name.
func (r *Relay) isServiceLost(service uint32) bool {
	for _, lost := range r.paths.lostServices() {
		if serviceHash(lost) == service {
			return true
		}
	}
	return false
}

// serveHolding serves a request that was admitted, and accounts for the memory that it holds.
func (r *Relay) serveHolding(ctx context.Context, cancel context.CancelFunc, x *exchange, w http.ResponseWriter) error {
	x.holding = r.memory.hold(x.req.ID, w, cancel)
	defer x.holding.close()
	return x.holding.result(r.serveAdmitted(ctx, x, x.holding))
}

// serveAdmitted serves a request that was admitted.
func (r *Relay) serveAdmitted(ctx context.Context, x *exchange, w http.ResponseWriter) error {
	var err error
	if x.route.Kind == routes.Generation {
		err = r.generate(ctx, x, w)
	} else {
		err = r.serveCall(ctx, x, w)
	}
	if err == nil && x.status < http.StatusInternalServerError && x.via == "" {
		r.recordServed(x)
	}
	return err
}

// ForwardedInFlight returns the number of requests that are being served for other instances.
func (r *Relay) ForwardedInFlight() int { return int(r.forwardedInFlight.Load()) }
