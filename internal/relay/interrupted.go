package relay

import (
	"context"
	"strings"
	"time"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/upstreamstate"
)

// Timing of the check whether an upstream has crashed. The check is repeated until it has a result,
// because packets may be lost and a machine may be slow to answer.
const (
	// crashCheckTimeout bounds one check. The machine of a process that has ended answers within a
	// round trip of 2 ms.
	crashCheckTimeout = 400 * time.Millisecond
	// crashCheckInterval is the pause between two checks.
	crashCheckInterval = 100 * time.Millisecond
	// crashCheckDeadline bounds the wait for a result. If the machine is silent for longer, the
	// request did not cause that.
	crashCheckDeadline = 3 * time.Second
)

// crashWindow is how long an engine may have been answering a request that crashed it because of a part of its
// prompt, the time until the crash is noticed included.
const crashWindow = time.Second

// interruptedRequest is a request that an upstream cut off.
type interruptedRequest struct {
	requestID string
	content   quarantine.Subject
	// suspects are the subjects of the request that may have crashed the upstream; the content is the first.
	suspects []quarantine.Subject
	// parts are the ids of the prompt's parts, for logs. generatingFor is how long the upstream had been answering;
	// 0 if it had not begun.
	parts         string
	generatingFor time.Duration
	check         *crashCheck
}

// crashCheck is the check whether an upstream that cut off a request has crashed.
type crashCheck struct {
	// justBegun is set if the upstream had just begun to answer the request.
	justBegun bool
	// done is closed when the result is known.
	done    chan struct{}
	crashed bool
}

// addInterrupted adds a request to those that wait for the crash check of an upstream, and reports
// whether it is the first one.
func (q *quarantineState) addInterrupted(id string, request interruptedRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.interrupted[id] = append(q.interrupted[id], request)
	return len(q.interrupted[id]) == 1
}

// takeInterrupted removes and returns the requests that wait for the crash check of an upstream.
func (q *quarantineState) takeInterrupted(id string) []interruptedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests := q.interrupted[id]
	delete(q.interrupted, id)
	return requests
}

// isRuledOut reports whether the check has ended and the upstream had not crashed.
func (c *crashCheck) isRuledOut() bool {
	select {
	case <-c.done:
		return !c.crashed
	default:
		return false
	}
}

// newInterrupted returns a request that its upstream cut off. The parts of its prompt are suspects only if the engine had
// not begun to answer, or had just begun. Only its first crash counts against them: the next ones say more about the
// request than about what it shares with others.
func (x *exchange) newInterrupted(now time.Duration) interruptedRequest {
	request := interruptedRequest{
		requestID: x.req.ID, content: x.content(), suspects: []quarantine.Subject{x.content()},
		parts: x.promptParts(), generatingFor: x.generatingFor(now), check: &crashCheck{done: make(chan struct{})},
	}
	if request.generatingFor < crashWindow {
		if x.crash == nil || x.crash.isRuledOut() {
			request.suspects = x.subjects()
		}
		request.check.justBegun = request.generatingFor > 0
	}
	return request
}

// checkInterrupted handles a request that an upstream cut off. If the upstream crashed, this counts
// against what the request asked for.
func (r *Relay) checkInterrupted(x *exchange, id string) {
	request := x.newInterrupted(r.now())
	x.crash = request.check
	if !r.quarantine.addInterrupted(id, request) {
		return
	}
	to := r.upstreams.Upstream(id)
	if to.ID == "" { // the upstream was removed, and its requests with it
		r.quarantine.endChecks(id, false)
		return
	}
	go r.checkCrashed(to)
}

// endChecks tells the requests that an upstream cut off whether it crashed, and returns them.
func (q *quarantineState) endChecks(id string, crashed bool) []interruptedRequest {
	requests := q.takeInterrupted(id)
	for _, request := range requests {
		request.check.crashed = crashed
		close(request.check.done)
	}
	return requests
}

// checkCrashed determines whether an upstream that cut off requests has crashed. If so, it records the
// crash for their suspects.
func (r *Relay) checkCrashed(to upstreamstate.Upstream) {
	crashed := r.hasCrashed(to)
	requests := r.quarantine.endChecks(to.ID, crashed)
	if !crashed {
		r.log.Info("relay: upstream lives on", "upstream", to.ID, "cut_off", len(requests))
		return
	}
	for _, request := range requests {
		r.recordInterrupted(to, request)
	}
	r.notifyChanged()
}

// recordInterrupted records the crash of an upstream for one request that it cut off.
func (r *Relay) recordInterrupted(to upstreamstate.Upstream, request interruptedRequest) {
	q := r.quarantine
	q.meters.crashes.Inc(1)
	var crashes int
	var quarantined []string
	for _, s := range request.suspects {
		started, count := r.RecordCrash(quarantine.Crash{Subject: s, Upstream: to.Incarnation()})
		if s == request.content {
			crashes = count
		}
		if s.IsPart() && count > 0 {
			q.meters.suspectedParts.Inc(1)
		}
		if started {
			quarantined = append(quarantined, s.Kind()+" "+s.String())
		}
	}
	r.log.Info("relay: upstream ended", "upstream", to.ID, "request", request.requestID, "content", request.content, "parts", request.parts,
		"generating_for", request.generatingFor, "suspects", len(request.suspects), "ends", crashes, "quarantined", strings.Join(quarantined, ","))
}

// hasCrashed checks whether an upstream has crashed until there is a result. Without a result the
// upstream is treated as running.
func (r *Relay) hasCrashed(to upstreamstate.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDeadline)
	defer cancel()
	healthPath := r.Services()[to.Service].HealthPath
	if r.BackingOff(to) {
		healthPath = "" // the check must not send it a request
	}
	began := r.now()
	for {
		checkCtx, cancelCheck := context.WithTimeout(ctx, crashCheckTimeout)
		crashed, err := r.sender.Crashed(checkCtx, to, healthPath)
		cancelCheck()
		if err == nil && crashed && !r.reachesAnother(ctx, to, began) {
			r.log.Info("relay: no upstream is reached, crash not assumed", "upstream", to.ID)
			return false
		}
		if err == nil {
			return crashed
		}
		if !pause.For(ctx, crashCheckInterval) {
			r.log.Info("relay: cannot determine whether upstream crashed", "upstream", to.ID, "error", err)
			return false
		}
	}
}
