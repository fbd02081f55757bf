package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/httptransport"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/readlimit"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// maxBufferedBytes is how much of an answer is buffered before the caller receives any, so that a
// truncated one can still be requested from another upstream. The rest of a longer answer is
// forwarded as it arrives.
const maxBufferedBytes = 256 << 10

// bufferedAnswer is a reply of which the first part has been read.
type bufferedAnswer struct {
	reply *Reply
	// head is the first part of the body, in chunks.
	head [][]byte
	// complete is set if head is the whole body.
	complete bool
}

// serviceCall is the path of a request to the upstreams of a plain service. It implements
// attempt.Call.
type serviceCall struct {
	*exchange
	relay *Relay
	w     http.ResponseWriter
}

// serveCall sends a request to one upstream after another, as far as its kind
// allows.
func (r *Relay) serveCall(ctx context.Context, x *exchange, w http.ResponseWriter) error {
	result, _ := x.attempts.Run(ctx, x.budget, r.now, &serviceCall{exchange: x, relay: r, w: w})
	if result.Status == attempt.Done {
		return result.Err
	}
	return r.finalError(ctx, x)
}

// Started implements attempt.Call. It is false, because the caller receives no part of an answer
// before it is decided that no other upstream will be tried.
func (c *serviceCall) Started() bool { return false }

// Try implements attempt.Call.
func (c *serviceCall) Try(ctx context.Context) attempt.Result {
	r := c.relay
	if err := r.checkSend(c.exchange); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	if c.attempts.Sends() > 0 && r.lacksTime(c.exchange) {
		return attempt.Result{Status: attempt.NoUpstream}
	}
	if r.shouldForward(c.exchange) {
		return c.forwardCall(ctx)
	}
	upstream, ok := r.upstreams.PickServiceUpstream(c.placementRequest(r.now()), r.now())
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream}
	}
	defer func() { r.upstreams.RequestDone(upstream.ID, c.req.ID, r.now()) }()
	r.recordSlowness(c.req, upstream)
	answer, err := r.sendCall(ctx, c.exchange, upstream)
	if err != nil {
		r.recordFailure(ctx, c.exchange, upstream.ID, err)
		return failedAttempt(upstream.ID, err)
	}
	if r.shouldRetryElsewhere(ctx, c.exchange, answer) {
		answer.dropHead(c.exchange)
		answer.reply.Body.Close()
		return failedAttempt(upstream.ID, errors.Errorf("relay: the upstream answered %d", answer.reply.Status))
	}
	return attempt.Result{Status: attempt.Done, Err: r.deliver(c.w, c.exchange, answer)}
}

// shouldRetryElsewhere reports whether a failure status of the upstream should be retried at
// another one.
func (r *Relay) shouldRetryElsewhere(ctx context.Context, x *exchange, answer bufferedAnswer) bool {
	if answer.reply.Status < http.StatusInternalServerError || x.route.Kind != routes.Idempotent {
		return false
	}
	if !x.attempts.MayRunElsewhere() || ctx.Err() != nil || r.upstreams.Count(x.service) < 2 || r.lacksTime(x) {
		return false
	}
	return x.attempts.Pay(ctx, x.budget, false, r.now())
}

// usualTimes is how many times as long as usual a call may take on one upstream.
const usualTimes = 2

// attemptTimeout returns how long an idempotent call may take on one upstream, so that another one can still be tried: the
// route's objective, but at least a third of the remaining time, and at most half of it or several times as long as calls to the service
// usually take.
func (r *Relay) attemptTimeout(x *exchange) time.Duration {
	remaining := x.remaining(r.now())
	usual, _ := r.upstreams.CallTime(x.service)
	return max(min(remaining/2, max(x.route.Objective, remaining/3)), usualTimes*usual)
}

// giveUpLater gives a call on one upstream up after attemptTimeout, if another one may be tried then, unless keep is called before.
func (r *Relay) giveUpLater(x *exchange, giveUp context.CancelFunc) (keep func() bool) {
	if x.route.Kind != routes.Idempotent || !x.attempts.MayRunElsewhere() {
		return func() bool { return true }
	}
	timer := time.AfterFunc(r.attemptTimeout(x), func() {
		if r.mayRepeatInTime(x) {
			giveUp()
		}
	})
	return timer.Stop
}

// mayRepeatInTime reports whether a call has enough time left for another upstream. While this instance stops, the time that a call
// takes must be known.
func (r *Relay) mayRepeatInTime(x *exchange) bool {
	usual, known := r.upstreams.CallTime(x.service)
	return (known || !r.stopping.hasBegun()) && x.remaining(r.now()) >= usual
}

func (r *Relay) sendCall(ctx context.Context, x *exchange, to upstreamstate.Upstream) (bufferedAnswer, error) {
	if err := x.noteSent(to.ID); err != nil {
		return bufferedAnswer{}, err
	}
	sentAt := r.now()
	sendCtx, cancel := context.WithCancel(ctx)
	keep := r.giveUpLater(x, cancel)
	defer keep() // the caller gets the answer from here on, or the attempt has failed
	reply, err := r.sender.Send(sendCtx, x.req, x.newSend(to, r.now()))
	if err == nil || errors.Is(err, ErrCutOff) { // it ran, though its answer may be lost
		r.countUsage(x, sentAt)
	}
	if err != nil {
		cancel()
		return bufferedAnswer{}, err
	}
	reply.Body = cancellingBody{reply.Body, cancel}
	r.recordAnswer(to.ID, reply.Load)
	if reply.Status >= http.StatusBadRequest {
		if err := readFailure(reply, callFailure); err != nil {
			return bufferedAnswer{}, err
		}
	}
	answer, err := readHead(x, reply)
	if err != nil {
		reply.Body.Close()
		return bufferedAnswer{}, WrapReadError(err)
	}
	if reply.Status < http.StatusInternalServerError {
		r.upstreams.RecordCall(to.ID, load.CallSucceeded, r.now())
		r.upstreams.RecordCallTime(to.ID, r.now()-sentAt)
	}
	return answer, nil
}

// callFailure bounds the body of a plain service's failure, which is mostly a page of some kilobytes.
var callFailure = readlimit.BodyLimits{MaxBytes: maxBufferedBytes, MaxTime: time.Second}

// readFailure reads the whole body of a failure within limits.
func readFailure(reply *Reply, limits readlimit.BodyLimits) error {
	whole, err := httptransport.ReadAll(reply.Body, limits)
	if err != nil {
		return WrapReadError(err)
	}
	reply.Body = io.NopCloser(bytes.NewReader(whole))
	return nil
}

// cancellingBody cancels its context when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// deliver writes an answer to the caller, unless it must be withheld.
func (r *Relay) deliver(w http.ResponseWriter, x *exchange, answer bufferedAnswer) error {
	if refusal := r.withhold(x, answer.reply); refusal != nil {
		answer.dropHead(x)
		answer.reply.Body.Close()
		return refusal
	}
	x.attempts.Answered()
	writeHeader(w, x, answer.reply)
	var rest *readAhead
	if answer.complete {
		defer answer.reply.Body.Close()
	} else {
		rest = startReadAhead(x.holding, answer.reply.Body)
		defer rest.close(answer.reply.Body)
	}
	if err := answer.writeHead(x, w); err != nil {
		return ErrCallerDisconnected
	}
	if rest != nil {
		if err := rest.writeTo(w); err != nil {
			return errors.WithMessage(ErrAnswerAborted, err.Error())
		}
	}
	x.attempts.Finished()
	return nil
}
