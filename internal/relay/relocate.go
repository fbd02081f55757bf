package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/relocation"
)

var (
	// errRelocated: the prompt was taken back from an engine that took too long, and is sent to another one. The engine has
	// not failed.
	errRelocated = errors.New("relay: the prompt moves to another engine")
	// errPlacedAgain is the ErrDeclined of a prompt that was not sent, because it would miss its deadline at the chosen
	// engine and not at another one.
	errPlacedAgain = errors.WithMessage(ErrDeclined, "it has too much work ahead")
	// errHopeless: no engine can be expected to process the prompt before the deadline.
	errHopeless = errors.New("relay: no engine can process the prompt in time")
)

const (
	// maxMoves bounds the engines that a prompt is taken back from. With MaxSends, one more prefill and the run remain.
	maxMoves = 2
	// moveDeniedFor is the time after which the budget is asked for a move again. The pools earn several retries a second.
	moveDeniedFor = 150 * time.Millisecond
	// maxHopelessRetry bounds the retry delay of a prompt that no engine can process in time. The work that instances
	// report of engines changes within seconds.
	maxHopelessRetry = 5 * time.Second
)

// relocator holds what the decisions of package relocation need of other prompts.
type relocator struct {
	// moved and denied count the prompts that were moved, and the moves that the retry budget did not allow; replaced
	// counts the prompts that were placed again before they were sent, hopeless the refused ones.
	moved, denied, replaced, hopeless metrics.Counter

	mu     sync.Mutex // protects delays and what they hold
	delays map[string]*relocation.Delays
	// silent has the engines that answered nothing since a prompt was sent that then moved.
	silent map[string]silence
}

// silence is the time of the first send to an engine that has answered nothing since, and the number of prompts that moved
// away from there.
type silence struct {
	since time.Duration
	moved int
}

func newRelocator() *relocator {
	return &relocator{
		moved: counter("prompts_moved"), denied: counter("prompt_moves_denied"), replaced: counter("prompts_placed_again"),
		hopeless: counter("refused_hopeless"), delays: map[string]*relocation.Delays{}, silent: map[string]silence{},
	}
}

// of returns the delays of a service's prompts. The lock is held.
func (l *relocator) of(service string) *relocation.Delays {
	delays, ok := l.delays[service]
	if !ok {
		delays = relocation.NewDelays()
		l.delays[service] = delays
	}
	return delays
}

// relocates reports whether the prompts of a service move when an engine does not process them in time.
func (r *Relay) relocates(service string) bool {
	from := r.settings.RelocationsFrom
	return from > 0 && r.upstreams.Count(service) >= from
}

// promptWatch decides on one prompt while an engine processes it.
type promptWatch struct {
	relay  *Relay
	g      *generation
	start  placement.Prefill
	sent   time.Duration
	record *relocation.Prompt
	// excluded are the upstreams to which the prompt does not move.
	excluded map[string]bool
	movable  bool
	// deniedAt is when the budget last denied a move; 0 if it has not.
	deniedAt time.Duration
	cancel   func()
	// stop ends the decisions, and done is closed afterwards. The fields below are set before.
	stop func()
	done chan struct{}
	paid bool
	err  error
}

// watchPrompt starts to decide on a prompt that is sent to an engine. It calls cancel if the engine is to end its work
// on the prompt. The caller calls end with the result of the send. It returns nil, which decides nothing, if the prompts
// of the service do not move.
func (r *Relay) watchPrompt(ctx context.Context, g *generation, start placement.Prefill, cancel func()) *promptWatch {
	if !r.relocates(g.service) {
		return nil
	}
	ctx, stop := context.WithCancel(ctx)
	w := &promptWatch{
		relay: r, g: g, start: start, sent: r.now(), excluded: maps.Clone(g.attempts.Excluded()),
		movable: g.moves < maxMoves && g.attempts.MaySend(), cancel: cancel, stop: stop, done: make(chan struct{}),
	}
	w.excluded[start.Engine.ID] = true
	r.relocator.mu.Lock()
	w.record = r.relocator.of(g.service).Sent(start.Engine.ID, w.predicted(), w.sent)
	r.relocator.mu.Unlock()
	go w.run(ctx)
	return w
}

// predicted returns the time that was predicted for the prompt, in the engine's queue and in work.
func (w *promptWatch) predicted() time.Duration {
	return w.start.Engine.Aggregate.Backlog + w.start.BusyTime
}

// run decides until the context ends or the prompt is taken back.
func (w *promptWatch) run(ctx context.Context) {
	defer close(w.done)
	timer := time.NewTimer(relocation.FirstCheck(w.predicted(), w.g.remaining(w.sent)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		decision := w.decide(ctx)
		if decision.Action != relocation.Wait {
			return
		}
		timer.Reset(decision.CheckIn)
	}
}

// decide makes one decision and carries it out.
func (w *promptWatch) decide(ctx context.Context) relocation.Decision {
	r := w.relay
	now := r.now()
	in, other := r.relocationInput(w.g, w.start, w.excluded, now-w.sent)
	in.Movable, in.Affordable = w.movable, w.deniedAt == 0 || now-w.deniedAt >= moveDeniedFor
	decision := relocation.Decide(in)
	switch decision.Action {
	case relocation.Move:
		if w.paid = w.g.budget.Spend(ctx, false, now); !w.paid {
			w.deny(ctx, in, decision, other)
			decision.Action = relocation.Wait
			return decision
		}
		w.err = errRelocated
		r.relocator.moved.Inc(1)
		observe("prompt_moved_after", in.Since)
	case relocation.Refuse:
		if w.g.headerSent { // an answer that has begun may still continue
			decision.Action = relocation.Wait
			return decision
		}
		w.err = errHopeless
		r.refuseHopeless(w.g, in)
	default:
		return decision
	}
	r.logRelocation(w.g, w.start, in, decision, other, decision.Action.String())
	w.cancel()
	return decision
}

// deny records that the budget does not allow a move. It is logged once for each prompt.
func (w *promptWatch) deny(ctx context.Context, in relocation.Input, d relocation.Decision, other string) {
	if ctx.Err() != nil {
		return // the prompt has ended meanwhile
	}
	if w.deniedAt == 0 {
		w.relay.logRelocation(w.g, w.start, in, d, other, "denied")
	}
	w.deniedAt = w.relay.now()
	w.relay.relocator.denied.Inc(1)
}

// end ends the decisions and returns the error of a prompt, given that of its send. A prompt that was processed before
// the engine could end its work stays.
func (w *promptWatch) end(sendErr error) error {
	if w == nil {
		return sendErr
	}
	w.stop()
	<-w.done
	r := w.relay
	r.relocator.mu.Lock()
	r.relocator.of(w.g.service).Ended(w.record, sendErr == nil, r.now())
	r.relocator.mu.Unlock()
	if w.paid {
		w.g.attempts.Prepaid()
	}
	if sendErr == nil {
		w.g.hopeless = nil
		return nil
	}
	if w.err == nil {
		return sendErr
	}
	if errors.Is(w.err, errRelocated) {
		w.g.moves++
		r.recordSilence(w.start.Engine.ID, w.sent, w.predicted())
	}
	return errors.WithMessage(w.err, sendErr.Error())
}

// recordSilence records that a prompt moved away from an engine. The prompts that moved count as failures of the engine only
// once it has answered nobody for as long as cancelWhenSilent waits, since the first of them was sent.
func (r *Relay) recordSilence(id string, sent, predicted time.Duration) {
	now := r.now()
	r.relocator.mu.Lock()
	silent, ok := r.relocator.silent[id]
	if !ok || r.upstreams.AnsweredSince(id, silent.since) {
		silent = silence{since: sent}
	}
	silent.moved++
	r.relocator.silent[id] = silent
	failed := !r.upstreams.AnsweredSince(id, silent.since) && now-silent.since >= predicted+r.settings.PrefillIdleTimeout
	if failed || r.upstreams.Upstream(id).ID == "" {
		delete(r.relocator.silent, id)
	}
	r.relocator.mu.Unlock()
	if !failed {
		return
	}
	ejected := false
	for range silent.moved {
		ejected = r.upstreams.RecordCall(id, load.CallFailed, now) || ejected
	}
	r.log.Info("relay: engine silent", "engine", id, "for", now-silent.since, "moved", silent.moved, "ejected", ejected)
}

// relocationInput returns the input of a decision on a prompt that was sent to an engine, or is about to, and the best
// engine that is not excluded; empty if there is none.
func (r *Relay) relocationInput(g *generation, start placement.Prefill, excluded map[string]bool, since time.Duration) (relocation.Input, string) {
	now := r.now()
	request := g.placementRequest(now)
	request.Excluded, request.Soonest = excluded, true
	request.AvoidedVersions, _, _ = r.unstoredVersions(g.exchange)
	other, found := r.upstreams.PredictPrefill(request, now)
	handOver := r.upstreams.Times(g.service).HandOver
	in := relocation.Input{
		Since: since, Predicted: start.Engine.Aggregate.Backlog + start.BusyTime,
		Objective: request.Objective - handOver, Deadline: request.RemainingWait - handOver,
		HasOther: found, Other: max(0, other.Start-handOver),
	}
	if g.queueOrder == placement.QueueDeferred {
		in.Objective = 0 // others go first because it misses the objective
	}
	if g.headerSent {
		in.Objective, in.Deadline = 0, g.remaining(now)
	}
	r.relocator.mu.Lock()
	in.Delays = r.relocator.of(g.service).Elsewhere(start.Engine.ID, in.Predicted, now)
	r.relocator.mu.Unlock()
	return in, other.Engine
}

// checkHopeless returns an error if a prompt cannot be expected to be processed before the deadline at the chosen
// engine: errHopeless if the same holds for all others, otherwise errPlacedAgain.
func (r *Relay) checkHopeless(g *generation, start placement.Prefill) error {
	if !r.relocates(g.service) || g.headerSent || start.Engine.Aggregate.Backlog+start.BusyTime <= g.placementRequest(r.now()).RemainingWait {
		return nil
	}
	excluded := maps.Clone(g.attempts.Excluded())
	excluded[start.Engine.ID] = true
	in, other := r.relocationInput(g, start, excluded, 0)
	decision := relocation.Decide(in)
	switch {
	case decision.Action == relocation.Refuse:
		r.refuseHopeless(g, in)
		r.logRelocation(g, start, in, decision, other, decision.Action.String())
		return errHopeless
	case in.HasOther && in.Other < in.Deadline && g.moves < maxMoves:
		g.moves++
		r.relocator.replaced.Inc(1)
		r.logRelocation(g, start, in, decision, other, "placed again")
		return errPlacedAgain
	}
	return nil
}

// refuseHopeless records the refusal of a prompt that no engine can process in time.
func (r *Relay) refuseHopeless(g *generation, in relocation.Input) {
	r.relocator.hopeless.Inc(1)
	soonest := in.Predicted
	if in.HasOther {
		soonest = min(soonest, in.Other)
	}
	delay := min(maxHopelessRetry, max(r.settings.RetryIn, relocation.RetryIn(soonest, g.route.Objective)))
	g.hopeless = &Refusal{Outcome: NotRun, Reason: "no engine can process the prompt in time", RetryIn: jittered(delay)}
}

// logRelocation logs a decision on a prompt with its inputs.
func (r *Relay) logRelocation(g *generation, start placement.Prefill, in relocation.Input, d relocation.Decision, other, outcome string) {
	r.log.Info("relay: prompt not processed in time", "request", g.req.ID, "engine", start.Engine.ID, "outcome", outcome,
		"after", in.Since, "predicted", in.Predicted, "objective_in", in.Objective, "deadline_in", in.Deadline,
		"other", other, "other_predicted", in.Other, "stays", d.Stays, "moved", d.Moved, "min_gain", d.MinGain,
		"delays", len(in.Delays), "moves", g.moves)
}

// upstreamDidNotFail reports whether a send ended by a decision about the request, or by the departure of its upstream.
func upstreamDidNotFail(err error) bool {
	return errors.Is(err, errRelocated) || errors.Is(err, errHopeless) || errors.Is(err, errUnprovenEnd)
}
