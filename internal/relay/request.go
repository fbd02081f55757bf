// Package relay is the data path for callers and upstreams that speak HTTP of
// their own: it finds a request's route, chooses upstreams, sends the request
// there with its body unread, checks the answer and gives it to the caller
// whole. It sends a request again only where that is safe and the retry budget
// allows it, and its refusals say truthfully whether anything ran.
//
// How a request looks on either side is the adapters' matter; see Sender for
// the upstreams' side. The decisions are those of packages outcome, retry,
// load, placement and routes.
package relay

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// Request is a caller's request, read whole.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	Host   string
	// Path decides the route; Target is the path with the query as received.
	Path, Target string
	// Header is what is passed on to upstreams.
	Header http.Header
	Body   []byte
	// Credential is the API key that the caller gave.
	Credential apikey.Credential
	// WaitBudget is how long the caller waits for the answer; 0 when it did not
	// say.
	WaitBudget time.Duration
	// Prompt is nil when the request carries none.
	Prompt *placement.Prompt
	// LastEvent is the id of the last event that the caller has of an earlier
	// answer; empty for a new request.
	LastEvent string
}

// Content names what the request asks for; a request that is sent again has the same
// one under another id.
func (r *Request) Content() quarantine.Content {
	return quarantine.ContentOf(r.Method, r.Host, r.Target, r.Body)
}

// KV names a prompt's KV cache that an engine keeps for another one.
type KV struct {
	Engine upstreamstate.Upstream
	Handle string
	Tokens int
}

// Send is one way to send a request.
type Send struct {
	To upstreamstate.Upstream
	// Timeout is how long the upstream may work on it.
	Timeout time.Duration
	// KV is the processed prompt to fetch; the zero value when there is none.
	KV KV
	// LastEvent is the event after which a generation goes on; empty from the
	// start.
	LastEvent string
	// FetchFrom is the address of an engine that has more of the prompt cached;
	// empty when nothing is to be fetched.
	FetchFrom string
	// Backup is the engine that the run is copied to as it goes; the zero value
	// when it is not.
	Backup upstreamstate.Upstream
	// Priority of the organisation or the route; 0 is the most urgent.
	Priority int
	// Identity is who the request comes from.
	Identity routes.Identity
	// Deferred: the engine is to process the prompt after all that do not yield.
	Deferred bool
	// Continues: the caller has a part of the answer already.
	Continues bool
	// Granted: the upstream's limit has room for it that was asked for before.
	Granted bool
}

// continuesAtCopy tells whether the upstream has the copy of the run that goes on. Nobody else can
// finish it, so that it is no new work.
func (s Send) continuesAtCopy() bool { return s.Continues && s.KV.Engine.ID == s.To.ID }

// Reply is an upstream's answer to a request that it ran. Its body must be
// closed.
type Reply struct {
	Status int
	// Header is what the caller gets of the upstream's.
	Header http.Header
	Body   io.ReadCloser
	Load   upstreamstate.Load
}

// Errors of a Sender. Compare with errors.Is.
var (
	// ErrNotSent: no byte of the request left.
	ErrNotSent = errors.New("relay: not sent")
	// ErrConnectTimeout is the ErrNotSent of a request whose connection was not answered in time.
	ErrConnectTimeout = errors.WithMessage(ErrNotSent, "no connection in time")
	// ErrDeclined is the ErrNotSent of a request whose upstream takes none now, by its own
	// word. It was not asked.
	ErrDeclined = errors.WithMessage(ErrNotSent, "the upstream takes none now")
	// ErrLimited, ErrLeaving and ErrResting tell by which word.
	ErrLimited    = errors.WithMessage(ErrDeclined, "its limit leaves no room")
	ErrDraining   = errors.WithMessage(ErrDeclined, "it leaves")
	ErrBackingOff = errors.WithMessage(ErrDeclined, "it asked for rest")
	// ErrRefused: the upstream says that it did not run the request.
	ErrRefused = errors.New("relay: the upstream did not run it")
	// ErrAddressReassigned: another upstream has the address now; it did not run the
	// request.
	ErrAddressReassigned = errors.New("relay: another upstream has the address")
	// ErrNoValidAnswer: the request was sent, and nothing valid came back.
	ErrNoValidAnswer = errors.New("relay: no valid answer")
	// ErrCutOff is the ErrLost of a request whose connection was ended by the upstream's
	// side before the answer's end.
	ErrCutOff = errors.WithMessage(ErrNoValidAnswer, "cut off")
)

// WrapReadError is the error of a request that was sent and whose whole answer could not be read.
func WrapReadError(err error) error {
	for _, cut := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errPartialEvent} {
		if errors.Is(err, cut) {
			return errors.WithMessage(ErrCutOff, err.Error())
		}
	}
	return errors.WithMessage(ErrNoValidAnswer, err.Error())
}

// ranNothing tells whether an error says that the upstream ran nothing.
func ranNothing(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) || errors.Is(err, ErrAddressReassigned)
}

// Sender is the adapter to the upstreams. The end of the context ends the
// upstream's work on a request.
type Sender interface {
	// SetStatementHandler has hear called with what upstreams say of themselves in any answer, whatever was
	// asked. It is called once, before all else.
	SetStatementHandler(hear func(from upstreamstate.Upstream, s upstreamstate.Statement))
	// Send has an upstream run a request, and returns once its answer begins.
	Send(ctx context.Context, req *Request, s Send) (*Reply, error)
	// Prefill has an engine process a request's prompt and keep the KV cache.
	Prefill(ctx context.Context, req *Request, s Send) (KV, upstreamstate.Load, error)
	// Free drops a KV cache that nobody will fetch.
	Free(ctx context.Context, kv KV) error
	// Crashed tells whether an upstream's process has ended: its machine answers, and
	// nobody listens at its address, or another upstream does, which is asked at the
	// health path where the service has one. An error means that there is no word on it.
	Crashed(ctx context.Context, to upstreamstate.Upstream, healthPath string) (bool, error)
}

// Outcome is what a refusal tells of the request.
type Outcome int

const (
	// NotRun: nothing of it ran, and nothing will.
	NotRun Outcome = iota
	// Unknown: it may have run.
	Unknown
	// NoRoute: the configuration has no route for it.
	NoRoute
	// Unauthenticated: the route asks for an API key, and it has none that is known. Nothing ran.
	Unauthenticated
	// TimedOut: it may have run; the time that it had is over.
	TimedOut
)

// Refusal is the answer to a request that was given up.
type Refusal struct {
	Outcome Outcome
	// Reason in a word or two, for logs and metrics.
	Reason string
	// RetryIn is when the caller should come back; 0 when it should not.
	RetryIn time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "relay: " + r.Reason }

// ErrAnswerAborted ends an answer that had begun and cannot be finished. The caller's
// connection must be closed without the answer's end.
var ErrAnswerAborted = errors.New("relay: the answer broke off")

// ErrCallerDisconnected: nobody waits for the answer any more.
var ErrCallerDisconnected = errors.New("relay: the caller has gone")
