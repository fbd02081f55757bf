// Package once runs a keyed call to a plain service at most once over all
// instances: a claim row in the table before the call is sent, and the answer
// kept with it. A repeat on any instance gets the kept answer, or "unknown".
package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/service"
)

// Errors of a keyed call. Compare with errors.Is.
var (
	// ErrNotRun: the call did not run; the caller may try again.
	ErrNotRun = errors.New("once: not run")
	// ErrUnknown: the call may have run.
	ErrUnknown = errors.New("once: outcome unknown")
	// ErrRunning: an instance claimed the call, and its answer is not kept yet.
	ErrRunning = errors.New("once: claimed and not answered")
	// ErrMismatch: the key was used with another call before.
	ErrMismatch = errors.New("once: the key belongs to another call")
)

// State of a claim.
type State string

// States of a claim.
const (
	// StateClaimed calls may be running, or their runner died.
	StateClaimed State = "claimed"
	// StateAnswered calls have their answer kept.
	StateAnswered State = "answered"
	// StateUnknown calls were sent, and their upstream did not tell.
	StateUnknown State = "unknown"
)

// keepTimeout bounds the keeping of an answer, which goes on after the caller
// has left.
const keepTimeout = 5 * time.Second

// Row is a claim as it stands in the table.
type Row struct {
	State State `json:"state"`
	// WriteID names the claiming write.
	WriteID string `json:"write_id"`
	// Call is a checksum of the call that the key was used with.
	Call string `json:"call"`
	// Answer is set in StateAnswered.
	Answer *service.Answer `json:"answer,omitempty"`
	// ClaimedUnixMilli is for the operators and for removal of old rows.
	ClaimedUnixMilli int64 `json:"claimed_unix_ms"`
}

// Runner runs keyed calls. It keeps no state and is safe for use by several
// goroutines.
type Runner struct {
	Table platform.Table
}

// Key is the table key of a claim.
func Key(serviceName, organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return "claim/" + serviceName + "/" + hex.EncodeToString(sum[:16])
}

// Checksum identifies a call's content.
func Checksum(call service.Call) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), call.Body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Do runs the call with run, unless the key was claimed before. Run's errors
// are service.ErrNotRun and service.ErrUnknown.
func (r Runner) Do(ctx context.Context, key string, call service.Call, run func(context.Context) (service.Answer, error)) (service.Answer, error) {
	claim := Row{
		State: StateClaimed, WriteID: uuid.NewString(), Call: Checksum(call),
		ClaimedUnixMilli: time.Now().UnixMilli(),
	}
	revision, err := r.claim(ctx, key, claim)
	if errors.Is(err, platform.ErrConflict) {
		return r.repeat(ctx, key, claim)
	}
	if err != nil {
		return service.Answer{}, errors.WithMessage(ErrNotRun, err.Error())
	}
	answer, err := run(ctx)
	return r.finish(ctx, key, claim, revision, answer, err)
}

// claim creates the row and returns its revision. ErrConflict means that
// somebody else's row is there; any other error that the call must not run.
func (r Runner) claim(ctx context.Context, key string, claim Row) (int64, error) {
	revision, err := r.write(ctx, key, 0, claim)
	if !errors.Is(err, platform.ErrUnknown) {
		return revision, err
	}
	row, found, err := r.read(ctx, key)
	if err != nil {
		return 0, err
	}
	if row.WriteID == claim.WriteID {
		return found, nil
	}
	return 0, platform.ErrConflict
}

// repeat answers a call whose key has a row already.
func (r Runner) repeat(ctx context.Context, key string, claim Row) (service.Answer, error) {
	row, _, err := r.read(ctx, key)
	if err != nil {
		return service.Answer{}, errors.WithMessage(ErrNotRun, err.Error())
	}
	if row.Call != claim.Call {
		return service.Answer{}, ErrMismatch
	}
	switch row.State {
	case StateAnswered:
		return *row.Answer, nil
	case StateUnknown:
		return service.Answer{}, ErrUnknown
	default:
		return service.Answer{}, ErrRunning
	}
}

// finish keeps what came of the call.
func (r Runner) finish(ctx context.Context, key string, claim Row, revision int64, answer service.Answer, runErr error) (service.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	if errors.Is(runErr, service.ErrNotRun) {
		_, _ = r.Table.Commit(ctx, platform.Txn{ // a claim left behind only refuses repeats
			Checks: []platform.Check{{Key: key, Revision: revision}},
			Writes: []platform.Write{{Key: key, Delete: true}},
		})
		return service.Answer{}, errors.WithMessage(ErrNotRun, runErr.Error())
	}
	claim.State, claim.Answer = StateAnswered, &answer
	if runErr != nil {
		claim.State, claim.Answer = StateUnknown, nil
	}
	_, _ = r.write(ctx, key, revision, claim) // not kept: repeats are told "claimed"
	if runErr != nil {
		return service.Answer{}, errors.WithMessage(ErrUnknown, runErr.Error())
	}
	return answer, nil
}

func (r Runner) write(ctx context.Context, key string, revision int64, row Row) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "once: encode")
	}
	return r.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Revision: revision}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
}

func (r Runner) read(ctx context.Context, key string) (Row, int64, error) {
	found, err := r.Table.Get(ctx, key)
	if err != nil {
		return Row{}, 0, err
	}
	var row Row
	if err := json.Unmarshal(found.Value, &row); err != nil {
		return Row{}, 0, errors.Wrap(err, "once: row")
	}
	return row, found.Revision, nil
}
