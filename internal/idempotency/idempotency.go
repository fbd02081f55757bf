// Package idempotency runs a call with an idempotency key to a plain service at most once across all
// instances. A runner writes a claim row to the table before the call is sent, and stores the answer with
// the row. A repeat of the call on any instance gets the stored answer, or an error that says whether the
// call is in progress or its outcome is unknown. Only the process whose own write created the claim runs
// the call.
package idempotency

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/service"
)

// Errors of a call with an idempotency key. Compare with errors.Is.
var (
	// ErrNotRun means that this call did not run. The caller may retry it.
	ErrNotRun = errors.New("once: not run")
	// ErrUnknown means that the call may have run, and that its outcome cannot be determined.
	ErrUnknown = errors.New("once: outcome unknown")
	// ErrInProgress means that the key is claimed and that no answer can be read yet.
	ErrInProgress = errors.New("once: claimed and not answered yet")
	// ErrMismatch means that the key was used with a different call before.
	ErrMismatch = errors.New("once: key was used with another call")
)

// Failpoints at which a process test can kill the process, in the order in which they are reached.
const (
	PointBeforeClaim = "once.before_claim"
	PointClaimed     = "once.claimed"
	PointSent        = "once.sent"
	PointAnswered    = "once.answered"
	PointStored      = "once.kept"
)

// Store is the part of the platform that a Runner uses.
type Store interface {
	platform.Table
	platform.Objects
}

// Runner runs calls with an idempotency key. It is safe for concurrent use.
type Runner struct {
	store      Store
	settings   Settings
	holder     string
	log        *slog.Logger
	start      time.Time
	background sync.WaitGroup

	mu         sync.Mutex // protects unanswered
	unanswered *claimWatch
}

// New returns a runner. The holder is the id of this instance and is written to its claims.
func New(store Store, settings Settings, holder string, log *slog.Logger) *Runner {
	return &Runner{
		store: store, settings: settings, holder: holder, log: log,
		start: time.Now(), unanswered: newClaimWatch(settings.SettleAfter),
	}
}

// Do runs the call with run, unless the key was claimed before. The errors of run are service.ErrNotRun
// and service.ErrUnknown. The call continues after the caller disconnects, so that a repeat finds its
// answer.
func (r *Runner) Do(ctx context.Context, key string, call service.Call, run func(context.Context) (service.Answer, error)) (service.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	claim := Row{
		State: StateClaimed, WriteID: uuid.NewString(), Holder: r.holder, Call: Checksum(call),
		ClaimedUnixMilli: time.Now().UnixMilli(),
	}
	failpoint.Hit(PointBeforeClaim)
	revision, err := r.claim(ctx, key, claim, 0)
	if errors.Is(err, platform.ErrConflict) {
		row, base, readErr := r.readWithTimeout(ctx, key)
		if readErr != nil || row.State != StateFree {
			return r.answerRepeat(ctx, key, claim, row, base, readErr)
		}
		revision, err = r.claim(ctx, key, claim, base)
		if errors.Is(err, platform.ErrConflict) {
			return service.Answer{}, ErrInProgress
		}
	}
	if err != nil {
		return service.Answer{}, errors.WithMessage(ErrNotRun, err.Error())
	}
	failpoint.Hit(PointClaimed)
	answer, err := run(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { failpoint.Hit(PointSent) },
	}))
	failpoint.Hit(PointAnswered)
	return r.recordOutcome(ctx, key, claim, revision, answer, err)
}

// Wait blocks until all background writes to the table have finished.
func (r *Runner) Wait() {
	r.background.Wait()
}

// claim writes the claim over the free row at the base revision and returns the new revision. With base 0
// no row may exist. ErrConflict means that a row exists which may not be this claim. Any other error means
// that the call must not run.
func (r *Runner) claim(ctx context.Context, key string, claim Row, base int64) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	revision, err := r.write(bounded, key, base, claim)
	if !errors.Is(err, platform.ErrUnknown) {
		return revision, err
	}
	// A read could be stale, but the revision check of a second write of the same claim is not.
	revision, err = r.write(bounded, key, base, claim)
	if errors.Is(err, platform.ErrConflict) {
		revision, err = r.awaitOwnRow(bounded, key, claim, base)
	}
	if errors.Is(err, platform.ErrUnknown) || errors.Is(err, platform.ErrUnavailable) {
		r.runInBackground(ctx, key, func(ctx context.Context) error { return r.withdraw(ctx, key, claim, base) })
	}
	return revision, err
}

// awaitOwnRow returns the revision of this claim's row, after a revision check has shown that a row newer
// than base exists. A read that does not return a newer row is stale and is retried until the context ends;
// then the error is ErrUnknown. If another claim holds the key, the error is ErrConflict.
func (r *Runner) awaitOwnRow(ctx context.Context, key string, claim Row, base int64) (int64, error) {
	for wait := initialBackoff; pause.For(ctx, wait); wait *= 2 {
		row, revision, err := r.read(ctx, key)
		if err != nil || revision <= base {
			continue
		}
		if row.WriteID == claim.WriteID && row.State == StateClaimed {
			return revision, nil
		}
		return 0, platform.ErrConflict
	}
	return 0, errors.WithMessage(platform.ErrUnknown, "the claim cannot be read yet")
}

// readWithTimeout reads the row of a key that was claimed before, within ClaimTimeout.
func (r *Runner) readWithTimeout(ctx context.Context, key string) (Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	return r.read(ctx, key)
}

// answerRepeat answers a call whose key already has a row. A non-nil readErr means that the row could not
// be read. It never runs the call.
func (r *Runner) answerRepeat(ctx context.Context, key string, claim, row Row, revision int64, readErr error) (service.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	if readErr != nil {
		// The revision check of the commit has shown that the row exists. The read was stale or failed.
		return service.Answer{}, errors.WithMessage(ErrInProgress, readErr.Error())
	}
	if row.Call != claim.Call {
		return service.Answer{}, ErrMismatch
	}
	switch row.State {
	case StateAnswered:
		return r.storedAnswer(ctx, row)
	case StateUnknown:
		return service.Answer{}, ErrUnknown
	default:
		return service.Answer{}, r.settleIfOverdue(ctx, key, row, revision)
	}
}

// storedAnswer returns the answer in the row, or in the object that the row names.
func (r *Runner) storedAnswer(ctx context.Context, row Row) (service.Answer, error) {
	if row.Answer != nil {
		return *row.Answer, nil
	}
	if row.Object == "" {
		return service.Answer{}, errors.WithMessage(ErrUnknown, "the row holds no answer")
	}
	data, err := r.store.GetObject(ctx, row.Object)
	if err != nil {
		return service.Answer{}, errors.WithMessage(ErrInProgress, err.Error())
	}
	var answer service.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return service.Answer{}, errors.WithMessage(ErrUnknown, err.Error())
	}
	return answer, nil
}

// settleIfOverdue sets a claim to StateUnknown if this instance has seen it unanswered for SettleAfter. It
// returns ErrUnknown for a claim that it has settled and ErrInProgress otherwise.
func (r *Runner) settleIfOverdue(ctx context.Context, key string, row Row, revision int64) error {
	r.mu.Lock()
	overdue := r.unanswered.overdue(key, revision, time.Since(r.start))
	r.mu.Unlock()
	if !overdue {
		return ErrInProgress
	}
	row.State = StateUnknown
	if _, err := r.write(ctx, key, revision, row); err != nil {
		return errors.WithMessage(ErrInProgress, err.Error())
	}
	r.mu.Lock()
	r.unanswered.forget(key)
	r.mu.Unlock()
	r.log.Warn("once: unanswered claim settled as unknown", "key", key, "holder", row.Holder)
	return ErrUnknown
}

func (r *Runner) write(ctx context.Context, key string, revision int64, row Row) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "once: encode row")
	}
	return r.store.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Revision: revision}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
}

func (r *Runner) read(ctx context.Context, key string) (Row, int64, error) {
	found, err := r.store.Get(ctx, key)
	if err != nil {
		return Row{}, 0, err
	}
	var row Row
	if err := json.Unmarshal(found.Value, &row); err != nil {
		return Row{}, 0, errors.Wrap(err, "once: decode row")
	}
	return row, found.Revision, nil
}
