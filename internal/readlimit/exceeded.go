// Package readlimit decides when what a connection delivers exceeds what a legitimate message needs, in bytes or in
// time. A faulty process may send bytes that are no message without end; without a bound each such response cost 10 MB
// of memory and held its caller until the deadline.
//
// Inputs are counts of received bytes and the time since a start that the caller chooses. The result is an *Exceeded,
// after which the caller closes the connection. Package httptransport applies the bounds to connections and bodies.
package readlimit

import (
	"fmt"
	"time"
)

// Part is the part of a message that a bound applies to.
type Part string

// The bounded parts.
const (
	// PartHeader is the first line and the header lines, those of interim (1xx) responses included.
	PartHeader Part = "header"
	// PartInterim is the number of interim (1xx) responses.
	PartInterim Part = "interim"
	// PartBody is a body that is read as a whole.
	PartBody Part = "body"
	// PartEvent is one event of a stream.
	PartEvent Part = "event"
)

// Exceeded is the error of a message of which a part exceeds its bound.
type Exceeded struct {
	Part Part
	// Received is what was received of the part: bytes, or responses if the part is PartInterim.
	Received int64
	// After is the time since the part began.
	After time.Duration
	// InTime is set if the part was not complete in time, and not set if it is too large.
	InTime bool
}

// Error implements error.
func (e *Exceeded) Error() string {
	if e.InTime {
		return fmt.Sprintf("readlimit: %s incomplete after %s, %d received", e.Part, e.After, e.Received)
	}
	return fmt.Sprintf("readlimit: %s too large, %d received in %s", e.Part, e.Received, e.After)
}

// Bound returns the name of the kind of bound for metrics and logs: "bytes" or "time".
func (e *Exceeded) Bound() string {
	if e.InTime {
		return "time"
	}
	return "bytes"
}
