package idempotency

import (
	"crypto/sha256"
	"encoding/hex"

	"sassafrasfield/internal/service"
)

// Prefix of all claims in the table.
const Prefix = "claim/"

// State of a claim.
type State string

// States of a claim. A row goes from claimed to one of the others, from
// unknown to answered or free when its runner comes back late, and from free
// to the next run's claim.
const (
	// StateClaimed calls may be running, or their runner died.
	StateClaimed State = "claimed"
	// StateAnswered calls have their answer kept.
	StateAnswered State = "answered"
	// StateUnknown calls may have run; nobody knows.
	StateUnknown State = "unknown"
	// StateFree calls did not run, and the key may be claimed again. The row
	// stays, so that a claim of the same run that arrives late is refused.
	StateFree State = "free"
)

// Row is a claim as it stands in the table.
type Row struct {
	State State `json:"state"`
	// WriteID names the claiming write, and so the one run of the call.
	WriteID string `json:"write_id"`
	// Holder is the instance that claimed.
	Holder string `json:"holder"`
	// Call is a checksum of the call that the key was used with.
	Call string `json:"call"`
	// Answer or Object is set in StateAnswered: the answer, or the name of the
	// object that holds it.
	Answer *service.Answer `json:"answer,omitempty"`
	Object string          `json:"object,omitempty"`
	// ClaimedUnixMilli is the holder's clock. It is for the operators and for
	// the removal of old rows, and decides nothing else.
	ClaimedUnixMilli int64 `json:"claimed_unix_ms"`
}

// Key is the table key of a claim. Its digits are spread evenly, so that a
// prefix names a share of all claims.
func Key(serviceName, organisation, key string) string {
	sum := sha256.Sum256([]byte(serviceName + "\x00" + organisation + "\x00" + key))
	return Prefix + hex.EncodeToString(sum[:16])
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
