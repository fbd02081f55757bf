package readlimit

import (
	"encoding/binary"
	"time"
)

// envelopeBytes is the length of what precedes each message of a stream of the connect protocol: flags, and the
// message's length in four bytes.
const envelopeBytes = 5

// Envelopes finds the messages of a stream of the connect protocol that announce too great a length. The library's own
// bound (WithReadMaxBytes) reads such a message to its end and discards it.
type Envelopes struct {
	maxBytes int64
	prefix   [envelopeBytes]byte
	have     int   // bytes of the prefix
	rest     int64 // bytes of the message that have not been received
}

// NewEnvelopes returns a stream of which nothing was received, whose messages have at most maxBytes each.
func NewEnvelopes(maxBytes int64) *Envelopes { return &Envelopes{maxBytes: maxBytes} }

// Received records received bytes, after a time since the stream began. The error is an *Exceeded.
func (e *Envelopes) Received(p []byte, after time.Duration) error {
	for len(p) > 0 {
		if e.rest > 0 {
			n := min(e.rest, int64(len(p)))
			e.rest, p = e.rest-n, p[n:]
			continue
		}
		n := copy(e.prefix[e.have:], p)
		e.have, p = e.have+n, p[n:]
		if e.have < envelopeBytes {
			continue
		}
		e.have, e.rest = 0, int64(binary.BigEndian.Uint32(e.prefix[1:]))
		if e.rest > e.maxBytes {
			return &Exceeded{Part: PartBody, Received: e.rest, After: after}
		}
	}
	return nil
}
