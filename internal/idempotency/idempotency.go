// Package idempotency runs a keyed call to a plain service at most once over all
// instances: a claim row in the table before the call is sent, and the answer
// kept with it. A repeat on any instance gets the kept answer, or the truth:
// in progress, or unknown. Only the process whose own write created the row
// ever runs the call.
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

// Errors of a keyed call. Compare with errors.Is.
var (
	// ErrNotRun: this call did not run; the caller may try again.
	ErrNotRun = errors.New("once: not run")
	// ErrUnknown: the call may have run, and nobody will ever know more.
	ErrUnknown = errors.New("once: outcome unknown")
	// ErrInProgress: the key is claimed, and no answer can be read yet.
	ErrInProgress = errors.New("once: claimed and not answered")
	// ErrMismatch: the key was used with another call before.
	ErrMismatch = errors.New("once: the key belongs to another call")
)

// Points at which a process test can end the process, in their order.
const (
	PointBeforeClaim = "once.before_claim"
	PointClaimed     = "once.claimed"
	PointSent        = "once.sent"
	PointAnswered    = "once.answered"
	PointStored      = "once.kept"
)

// Store is the part of the platform that keyed calls need.
type Store interface {
	platform.Table
	platform.Objects
}

// Runner runs keyed calls. It is safe for use by several goroutines.
type Runner struct {
	store    Store
	settings Settings
	holder   string
	log      *slog.Logger
	start    time.Time
	keeping  sync.WaitGroup

	mu    sync.Mutex // protects watch
	watch *watch
}

// New returns a runner; holder names the instance in its claims.
func New(store Store, settings Settings, holder string, log *slog.Logger) *Runner {
	return &Runner{
		store: store, settings: settings, holder: holder, log: log,
		start: time.Now(), watch: newWatch(settings.SettleAfter),
	}
}

// Do runs the call with run, unless the key was claimed before. Run's errors
// are service.ErrNotRun and service.ErrUnknown. The call goes on when the
// caller leaves, so that a repeat finds its answer.
func (r *Runner) Do(ctx context.Context, key string, call service.Call, run func(context.Context) (service.Answer, error)) (service.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	claim := Row{
		State: StateClaimed, WriteID: uuid.NewString(), Holder: r.holder, Call: Checksum(call),
		ClaimedUnixMilli: time.Now().UnixMilli(),
	}
	failpoint.Hit(PointBeforeClaim)
	revision, err := r.claim(ctx, key, claim, 0)
	if errors.Is(err, platform.ErrConflict) {
		row, base, readErr := r.found(ctx, key)
		if readErr != nil || row.State != StateFree {
			return r.repeat(ctx, key, claim, row, base, readErr)
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
	return r.finish(ctx, key, claim, revision, answer, err)
}

// Wait returns when no answer is on its way to the table any more.
func (r *Runner) Wait() {
	r.keeping.Wait()
}

// claim writes the claim over the free row of the base revision, or over none
// at 0, and returns its revision. ErrConflict means that a row is there which
// is not surely this claim; any other error that the call must not run.
func (r *Runner) claim(ctx context.Context, key string, claim Row, base int64) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	revision, err := r.write(bounded, key, base, claim)
	if !errors.Is(err, platform.ErrUnknown) {
		return revision, err
	}
	// A read could be stale; the check of the same claim again is not.
	revision, err = r.write(bounded, key, base, claim)
	if errors.Is(err, platform.ErrConflict) {
		revision, err = r.own(bounded, key, claim, base)
	}
	if errors.Is(err, platform.ErrUnknown) || errors.Is(err, platform.ErrUnavailable) {
		r.inBackground(ctx, key, func(ctx context.Context) error { return r.withdraw(ctx, key, claim, base) })
	}
	return revision, err
}

// own returns the revision of this claim's row, after a check said that a row
// newer than base is there. A read that does not show it yet is stale, and is
// done again until the context ends; that is ErrUnknown.
func (r *Runner) own(ctx context.Context, key string, claim Row, base int64) (int64, error) {
	for wait := firstWait; pause.For(ctx, wait); wait *= 2 {
		row, revision, err := r.read(ctx, key)
		if err != nil || revision <= base {
			continue
		}
		if row.WriteID == claim.WriteID && row.State == StateClaimed {
			return revision, nil
		}
		return 0, platform.ErrConflict
	}
	return 0, errors.WithMessage(platform.ErrUnknown, "the claim is not to be read yet")
}

// found reads the row of a key that was claimed before.
func (r *Runner) found(ctx context.Context, key string) (Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	return r.read(ctx, key)
}

// repeat answers a call whose key has a row already, as far as it could be
// read. It never runs the call.
func (r *Runner) repeat(ctx context.Context, key string, claim, row Row, revision int64, readErr error) (service.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	if readErr != nil {
		// The row is there: the commit's check said so. The read is stale, or
		// did not come through.
		return service.Answer{}, errors.WithMessage(ErrInProgress, readErr.Error())
	}
	if row.Call != claim.Call {
		return service.Answer{}, ErrMismatch
	}
	switch row.State {
	case StateAnswered:
		return r.kept(ctx, row)
	case StateUnknown:
		return service.Answer{}, ErrUnknown
	default:
		return service.Answer{}, r.unanswered(ctx, key, row, revision)
	}
}

// kept returns the answer that a row holds or names.
func (r *Runner) kept(ctx context.Context, row Row) (service.Answer, error) {
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

// unanswered settles a claim that this instance has seen for long.
func (r *Runner) unanswered(ctx context.Context, key string, row Row, revision int64) error {
	r.mu.Lock()
	overdue := r.watch.overdue(key, revision, time.Since(r.start))
	r.mu.Unlock()
	if !overdue {
		return ErrInProgress
	}
	row.State = StateUnknown
	if _, err := r.write(ctx, key, revision, row); err != nil {
		return errors.WithMessage(ErrInProgress, err.Error())
	}
	r.mu.Lock()
	r.watch.forget(key)
	r.mu.Unlock()
	r.log.Warn("once: a claim without an answer is settled as unknown", "key", key, "holder", row.Holder)
	return ErrUnknown
}

func (r *Runner) write(ctx context.Context, key string, revision int64, row Row) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "once: encode")
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
		return Row{}, 0, errors.Wrap(err, "once: row")
	}
	return row, found.Revision, nil
}
