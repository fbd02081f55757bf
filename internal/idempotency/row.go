package idempotency

import (
	"crypto/sha256"
	"encoding/hex"

	"sassafrasfield/internal/service"
)

// Prefix is the prefix of the table keys of all claims.
const Prefix = "claim/"

// State is the state of a claim.
type State string

// States of a claim. A row changes from claimed to any of the others, from unknown to answered or free if
// its runner was only slow, and from free to claimed by the next run.
const (
	// StateClaimed means that the call may be running, or that its runner has crashed.
	StateClaimed State = "claimed"
	// StateAnswered means that the answer is stored.
	StateAnswered State = "answered"
	// StateUnknown means that the call may have run and that its outcome is unknown.
	StateUnknown State = "unknown"
	// StateFree means that the call did not run and that the key may be claimed again. The row stays, so
	// that a delayed claim write of the same run is refused.
	StateFree State = "free"
)

// Row is a claim as it is stored in the table.
type Row struct {
	State State `json:"state"`
	// WriteID identifies the write that made the claim, and so the run of the call.
	WriteID string `json:"write_id"`
	// Holder is the instance that made the claim.
	Holder string `json:"holder"`
	// Call is the checksum of the call that the key was used with.
	Call string `json:"call"`
	// Answer or Object is set in StateAnswered. Answer is the answer itself; Object is the name of the
	// object that holds it.
	Answer *service.Answer `json:"answer,omitempty"`
	Object string          `json:"object,omitempty"`
	// ClaimedUnixMilli is the time of the claim on the holder's clock. It is used only by operators and for
	// the removal of old rows.
	ClaimedUnixMilli int64 `json:"claimed_unix_ms"`
}

// Key returns the table key of a claim. Keys are hashed, so that the keys with a given prefix are an even
// share of all claims.
func Key(serviceName, organisation, key string) string {
	sum := sha256.Sum256([]byte(serviceName + "\x00" + organisation + "\x00" + key))
	return Prefix + hex.EncodeToString(sum[:16])
}

// Checksum returns a checksum of a call's method, path and body.
func Checksum(call service.Call) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), call.Body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
