package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// wholeBytes is how much of an answer is held before the caller gets any, so
// that a broken one can still be asked for elsewhere. Longer ones are passed on
// as they come.
const wholeBytes = 256 << 10

// answer is a reply of which the first part has been read.
type answer struct {
	reply *Reply
	first []byte
	// whole tells that first is all of it.
	whole bool
}

// serviceCall is the way of a request to a plain service's upstreams. It implements
// attempt.Call.
type serviceCall struct {
	*exchange
	relay *Relay
	w     http.ResponseWriter
}

// serveCall sends a request to one upstream after another, as far as its kind
// allows.
func (r *Relay) serveCall(ctx context.Context, x *exchange, w http.ResponseWriter) error {
	result, _ := x.tries.Run(ctx, x.budget, r.now, &serviceCall{exchange: x, relay: r, w: w})
	if result.Status == attempt.Done {
		return result.Err
	}
	return r.giveUp(ctx, x)
}

// Started implements attempt.Call: no part of an answer is given to the caller
// before it is known that no other upstream will be asked.
func (c *serviceCall) Started() bool { return false }

// Try implements attempt.Call.
func (c *serviceCall) Try(ctx context.Context) attempt.Result {
	r := c.relay
	if err := r.bar(c.exchange); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	upstream, ok := r.picture.PickServiceUpstream(c.ask(r.now()), r.now())
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream}
	}
	defer func() { r.picture.RequestDone(upstream.ID, c.req.ID, r.now()) }()
	got, err := r.callOnce(ctx, c.exchange, upstream)
	if err != nil {
		r.blame(ctx, c.exchange, upstream.ID, err)
		return failure(upstream.ID, err)
	}
	if r.shouldAskAnother(ctx, c.exchange, got) {
		got.reply.Body.Close()
		return failure(upstream.ID, errors.Errorf("relay: the upstream answered %d", got.reply.Status))
	}
	return attempt.Result{Status: attempt.Done, Err: deliver(c.w, c.exchange, got)}
}

// shouldAskAnother tells whether a failure that the upstream answered with
// should be tried elsewhere.
func (r *Relay) shouldAskAnother(ctx context.Context, x *exchange, got answer) bool {
	if got.reply.Status < http.StatusInternalServerError || x.route.Kind != routes.Idempotent {
		return false
	}
	if !x.tries.MayRunElsewhere() || ctx.Err() != nil || r.picture.Count(x.service) < 2 {
		return false
	}
	return x.tries.Prepay(ctx, x.budget, r.now())
}

// tryTime is how long an idempotent call may take on one upstream: the route's
// objective, at most half of the time left, so that another one has a chance.
func (r *Relay) tryTime(x *exchange) time.Duration {
	left := x.left(r.now())
	if x.route.Kind != routes.Idempotent || !x.tries.MayRunElsewhere() {
		return left
	}
	return min(left/2, max(x.route.Objective, left/3))
}

func (r *Relay) callOnce(ctx context.Context, x *exchange, to upstreamstate.Upstream) (answer, error) {
	if err := x.sent(to.ID); err != nil {
		return answer{}, err
	}
	sentAt := r.now()
	sending, cancel := context.WithTimeout(ctx, r.tryTime(x))
	reply, err := r.sender.Send(sending, x.req, x.send(to, r.now()))
	if err == nil || errors.Is(err, ErrCutOff) { // it ran, though its answer may be lost
		r.noteBegan(x, sentAt)
	}
	if err != nil {
		cancel()
		return answer{}, err
	}
	reply.Body = endingBody{reply.Body, cancel}
	r.noteAnswer(to.ID, reply.Load)
	first, err := io.ReadAll(io.LimitReader(reply.Body, wholeBytes))
	if err != nil {
		reply.Body.Close()
		return answer{}, WrapReadError(err)
	}
	if reply.Status < http.StatusInternalServerError {
		r.picture.RecordCall(to.ID, load.CallSucceeded, r.now())
	}
	return answer{reply: reply, first: first, whole: len(first) < wholeBytes}, nil
}

// endingBody ends its context when it is closed.
type endingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b endingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// deliver gives an answer to the caller.
func deliver(w http.ResponseWriter, x *exchange, got answer) error {
	defer got.reply.Body.Close()
	x.tries.Answered()
	writeHeader(w, x, got.reply)
	if _, err := w.Write(got.first); err != nil {
		return ErrCallerDisconnected
	}
	if !got.whole {
		if _, err := io.Copy(w, got.reply.Body); err != nil {
			return errors.WithMessage(ErrAnswerAborted, err.Error())
		}
	}
	x.tries.Finished()
	return nil
}
