package idempotency

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/service"
)

// firstWait and longestWait bound the time between two tries of a write.
const (
	firstWait   = 10 * time.Millisecond
	longestWait = time.Second
)

// objectPrefix begins the names of answers in the object store.
const objectPrefix = "answers/"

// finish keeps what came of the call, and returns it.
func (r *Runner) finish(ctx context.Context, key string, claim Row, revision int64, answer service.Answer, runErr error) (service.Answer, error) {
	switch {
	case errors.Is(runErr, service.ErrNotRun):
		r.soon(ctx, key, func(ctx context.Context) error { return r.release(ctx, key, claim, revision) })
		return service.Answer{}, errors.WithMessage(ErrNotRun, runErr.Error())
	case runErr != nil:
		claim.State = StateUnknown
	default:
		claim.State, claim.Answer = StateAnswered, &answer
	}
	r.soon(ctx, key, func(ctx context.Context) error { return r.keep(ctx, key, claim, revision) })
	failpoint.Hit(PointStored)
	if runErr != nil {
		return service.Answer{}, errors.WithMessage(ErrUnknown, runErr.Error())
	}
	return answer, nil
}

// soon starts work that outlasts the caller's wait when the table is slow.
func (r *Runner) soon(ctx context.Context, key string, work func(context.Context) error) {
	done := r.inBackground(ctx, key, work)
	timer := time.NewTimer(r.settings.KeepWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// inBackground starts work on a row, and closes the channel at its end.
func (r *Runner) inBackground(ctx context.Context, key string, work func(context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	r.keeping.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, r.settings.KeepTimeout)
		defer cancel()
		if err := work(ctx); err != nil {
			r.log.Warn("once: the outcome is not kept", "key", key, "error", err)
		}
	})
	return done
}

// keep writes the outcome over this run's claim, until it stands or another's
// row is there. An instance that settled the claim as unknown is overruled.
func (r *Runner) keep(ctx context.Context, key string, row Row, revision int64) error {
	row, err := r.moveOut(ctx, row)
	if err != nil {
		return err
	}
	return r.persist(ctx, key, row.WriteID, revision, func(revision int64) error {
		_, err := r.write(ctx, key, revision, row)
		return err
	}, func(found Row, err error) bool {
		return err == nil && found.WriteID == row.WriteID && found.State == row.State
	})
}

// release frees the key of this run's claim: the call did not run.
func (r *Runner) release(ctx context.Context, key string, claim Row, revision int64) error {
	claim.State = StateFree
	return r.persist(ctx, key, claim.WriteID, revision, func(revision int64) error {
		_, err := r.write(ctx, key, revision, claim)
		return err
	}, func(found Row, err error) bool {
		return err == nil && (found.WriteID != claim.WriteID || found.State == StateFree)
	})
}

// withdraw frees the key of a claim that was given up in doubt. It makes the
// claim first, if it does not stand: a write that is still on its way could
// else do so later.
func (r *Runner) withdraw(ctx context.Context, key string, claim Row, base int64) error {
	for wait := firstWait; ; wait = min(2*wait, longestWait) {
		revision, err := r.write(ctx, key, base, claim)
		if errors.Is(err, platform.ErrConflict) {
			revision, err = r.own(ctx, key, claim, base)
		}
		switch {
		case err == nil:
			return r.release(ctx, key, claim, revision)
		case errors.Is(err, platform.ErrConflict):
			return nil // another's claim stands, so this one never will
		case !pause.For(ctx, wait):
			return err
		}
	}
}

// persist repeats a conditional write of this run's row until it took effect,
// or done says so of what a read finds. The check makes a repeat harmless, and
// a stale read costs one more try.
func (r *Runner) persist(ctx context.Context, key, writeID string, revision int64, write func(revision int64) error, done func(Row, error) bool) error {
	for wait := firstWait; ; wait = min(2*wait, longestWait) {
		err := write(revision)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			row, found, readErr := r.read(ctx, key)
			if done(row, readErr) {
				return nil
			}
			if readErr == nil && row.WriteID == writeID {
				revision = found
			}
		}
		if !pause.For(ctx, wait) {
			return err
		}
	}
}

// moveOut puts a large answer into the object store.
func (r *Runner) moveOut(ctx context.Context, row Row) (Row, error) {
	if row.Answer == nil || len(row.Answer.Body) <= r.settings.InlineBytes {
		return row, nil
	}
	data, err := json.Marshal(row.Answer)
	if err != nil {
		return row, errors.Wrap(err, "once: encode")
	}
	row.Object, row.Answer = objectPrefix+row.WriteID, nil
	for wait := firstWait; ; wait = min(2*wait, longestWait) {
		err := r.store.PutObject(ctx, row.Object, data)
		if err == nil || !pause.For(ctx, wait) {
			return row, err
		}
	}
}
