package readlimit

import "time"

// HeadLimits bound what precedes the body of a response: first line, header and interim (1xx) responses.
type HeadLimits struct {
	// MaxBytes bounds all of it, interim responses included.
	MaxBytes int64
	// MaxTime bounds the time from the first byte of a header to its end, summed over the interim responses and the
	// response. It does not bound the time to the first byte: a prompt may take seconds to process.
	MaxTime time.Duration
	// MaxInterim bounds the interim responses.
	MaxInterim int
}

// ResponseHead returns the bounds for the responses of all processes that this system calls.
func ResponseHead() HeadLimits {
	return HeadLimits{
		// A legitimate header has under 16 KB. A read of it contains up to 4 KB of the body. The rest is margin.
		MaxBytes: 32 << 10,
		// A header mostly arrives in one packet. A lost packet is retransmitted within 0.2 to 0.8 s.
		MaxTime: time.Second,
		// Of the interim responses, HTTP/1.1 servers send 100, 102 and 103, each once or twice.
		MaxInterim: 4,
	}
}

// Head is what was received of the head of one response. Times are those of any clock that does not go back.
type Head struct {
	limits  HeadLimits
	bytes   int64
	interim int
	// begun is set from the first byte of a header, at began, to its end.
	begun bool
	began time.Duration
	// spent is the time that the headers of the interim responses took.
	spent    time.Duration
	deadline deadline
}

// NewHead returns a head of which nothing was received.
func NewHead(limits HeadLimits) *Head { return &Head{limits: limits} }

// Received records that n bytes were received. The error is an *Exceeded.
func (h *Head) Received(n int, now time.Duration) error {
	if !h.begun && n > 0 {
		h.begun, h.began = true, now
		h.deadline = deadline{at: now + h.limits.MaxTime - h.spent}
	}
	h.bytes += int64(n)
	if h.bytes > h.limits.MaxBytes {
		return &Exceeded{Part: PartHeader, Received: h.bytes, After: now - h.began}
	}
	return nil
}

// EndInterim records that the header of an interim response is complete. The time until the next header begins does not
// count. The error is an *Exceeded.
func (h *Head) EndInterim(now time.Duration) error {
	if h.begun {
		h.spent += now - h.began
	}
	h.begun = false
	h.interim++
	if h.interim > h.limits.MaxInterim {
		return &Exceeded{Part: PartInterim, Received: int64(h.interim), After: now - h.began}
	}
	return nil
}

// Deadline returns the time until which the header that has begun must be complete; false if none has begun.
func (h *Head) Deadline() (time.Duration, bool) { return h.deadline.at, h.begun }

// Expired returns the error, an *Exceeded, at a time at which the deadline was found to have passed. It is nil if
// there is a new deadline.
func (h *Head) Expired(now time.Duration) error {
	if !h.begun || !h.deadline.expired(now) {
		return nil
	}
	return &Exceeded{Part: PartHeader, Received: h.bytes, After: now - h.began, InTime: true}
}
