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

// initialBackoff and maxBackoff bound the delay between two attempts of a write.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
)

// objectPrefix is the prefix of the names of answers in the object store.
const objectPrefix = "answers/"

// recordOutcome writes the outcome of the call to its row and returns it. If the call did not run, it frees
// the key.
func (r *Runner) recordOutcome(ctx context.Context, key string, claim Row, revision int64, answer service.Answer, runErr error) (service.Answer, error) {
	switch {
	case errors.Is(runErr, service.ErrNotRun):
		r.runWithWait(ctx, key, func(ctx context.Context) error { return r.release(ctx, key, claim, revision) })
		return service.Answer{}, errors.WithMessage(ErrNotRun, runErr.Error())
	case runErr != nil:
		claim.State = StateUnknown
	default:
		claim.State, claim.Answer = StateAnswered, &answer
	}
	r.runWithWait(ctx, key, func(ctx context.Context) error { return r.storeOutcome(ctx, key, claim, revision) })
	failpoint.Hit(PointStored)
	if runErr != nil {
		return service.Answer{}, errors.WithMessage(ErrUnknown, runErr.Error())
	}
	return answer, nil
}

// runWithWait runs work in the background and waits for it for at most KeepWait, so that a slow table does
// not delay the caller further.
func (r *Runner) runWithWait(ctx context.Context, key string, work func(context.Context) error) {
	done := r.runInBackground(ctx, key, work)
	timer := time.NewTimer(r.settings.KeepWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// runInBackground starts work on a row, bounded by KeepTimeout. It closes the returned channel when the
// work has finished.
func (r *Runner) runInBackground(ctx context.Context, key string, work func(context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	r.background.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, r.settings.KeepTimeout)
		defer cancel()
		if err := work(ctx); err != nil {
			r.log.Warn("once: failed to store the outcome", "key", key, "error", err)
		}
	})
	return done
}

// storeOutcome writes the outcome over this run's claim. It retries until the outcome is stored or
// KeepTimeout ends. It overwrites StateUnknown that another instance has written for this claim.
func (r *Runner) storeOutcome(ctx context.Context, key string, row Row, revision int64) error {
	row, err := r.moveLargeAnswer(ctx, row)
	if err != nil {
		return err
	}
	return r.retryWrite(ctx, key, row.WriteID, revision, func(revision int64) error {
		_, err := r.write(ctx, key, revision, row)
		return err
	}, func(found Row, err error) bool {
		return err == nil && found.WriteID == row.WriteID && found.State == row.State
	})
}

// release frees the key of this run's claim, because the call did not run.
func (r *Runner) release(ctx context.Context, key string, claim Row, revision int64) error {
	claim.State = StateFree
	return r.retryWrite(ctx, key, claim.WriteID, revision, func(revision int64) error {
		_, err := r.write(ctx, key, revision, claim)
		return err
	}, func(found Row, err error) bool {
		return err == nil && (found.WriteID != claim.WriteID || found.State == StateFree)
	})
}

// withdraw frees the key of a claim whose write was abandoned with an unknown outcome. If the claim does not
// exist yet, withdraw writes it first, because the abandoned write may still be delivered and would then
// claim the key later.
func (r *Runner) withdraw(ctx context.Context, key string, claim Row, base int64) error {
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		revision, err := r.write(ctx, key, base, claim)
		if errors.Is(err, platform.ErrConflict) {
			revision, err = r.awaitOwnRow(ctx, key, claim, base)
		}
		switch {
		case err == nil:
			return r.release(ctx, key, claim, revision)
		case errors.Is(err, platform.ErrConflict):
			return nil // another claim holds the key, so the abandoned write can no longer take effect
		case !pause.For(ctx, wait):
			return err
		}
	}
}

// retryWrite repeats a conditional write of this run's row until it succeeds, or until done returns true for
// the row that is read after a conflict. The revision check makes a repeated write harmless, and a stale
// read costs one more attempt.
func (r *Runner) retryWrite(ctx context.Context, key, writeID string, revision int64, write func(revision int64) error, done func(Row, error) bool) error {
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
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

// moveLargeAnswer moves an answer larger than InlineBytes to the object store.
func (r *Runner) moveLargeAnswer(ctx context.Context, row Row) (Row, error) {
	if row.Answer == nil || len(row.Answer.Body) <= r.settings.InlineBytes {
		return row, nil
	}
	data, err := json.Marshal(row.Answer)
	if err != nil {
		return row, errors.Wrap(err, "once: encode answer")
	}
	row.Object, row.Answer = objectPrefix+row.WriteID, nil
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		err := r.store.PutObject(ctx, row.Object, data)
		if err == nil || !pause.For(ctx, wait) {
			return row, err
		}
	}
}
