// Package relay implements the data path for callers and upstreams that use their own HTTP
// protocols. It matches a request to a route, chooses upstreams, forwards the request without
// interpreting its body, checks the answer and delivers it completely to the caller. It retries a
// request only where that is safe and the retry budget allows it, and its refusals state truthfully
// whether anything ran.
//
// Its inputs are the callers' requests, the configuration, the upstreams' entries and
// announcements, and the reports of other instances. Its outputs are answers or refusals, and this
// instance's own reports.
//
// Adapters convert requests and answers on both sides; see Sender for the upstreams' side. The
// decisions are made by packages outcome, retry, load, placement and routes.
package relay

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/readlimit"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// Request is a caller's request with its complete body.
type Request struct {
	// ID is the id that the caller gave this attempt.
	ID     string
	Method string
	Host   string
	// Path selects the route. Target is the path with the query, as received.
	Path, Target string
	// Header holds the fields that are forwarded to upstreams.
	Header http.Header
	Body   []byte
	// Credential is the API key that the caller sent.
	Credential apikey.Credential
	// WaitBudget is how long the caller waits for the answer; 0 if it is not specified.
	WaitBudget time.Duration
	// Prompt is nil if the request has none.
	Prompt *placement.Prompt
	// LastEvent is the id of the last event that the caller received of an earlier answer; empty
	// for a new request.
	LastEvent string
	// Resumes is the id of the caller's attempt that brought the first event of the answer that it
	// takes up; empty if the caller does not say.
	Resumes string
}

// Content returns the identifier of what the request asks for. A request that is sent again under
// another id has the same one.
func (r *Request) Content() quarantine.Subject {
	return quarantine.ContentOf(r.Method, r.Host, r.Target, r.Body)
}

// maxParts is the number of parts of a prompt, from its start, that crashes are counted against.
const maxParts = 128

// parts returns the identifiers of the prompt's parts for a service.
func (r *Request) parts(service string) []quarantine.Subject {
	if r.Prompt == nil {
		return nil
	}
	list := make([]quarantine.Subject, 0, min(len(r.Prompt.Parts), maxParts))
	for _, part := range r.Prompt.Parts[:min(len(r.Prompt.Parts), maxParts)] {
		list = append(list, quarantine.PartOf(service, part.ID))
	}
	return list
}

// streamID returns the id of the attempt that began the answer: of an earlier one if the caller takes its answer up.
func (r *Request) streamID() string {
	if r.LastEvent != "" && r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// KV identifies the KV cache of a prompt that an engine keeps for another engine to fetch.
type KV struct {
	Engine upstreamstate.Upstream
	Handle string
	Tokens int
}

// Send describes one send of a request to an upstream.
type Send struct {
	To upstreamstate.Upstream
	// Version is the software version that the upstream must have; empty for any.
	Version string
	// Timeout bounds the upstream's work on the request.
	Timeout time.Duration
	// KV is the processed prompt to fetch; the zero value if there is none.
	KV KV
	// LastEvent is the event after which a generation continues; empty to begin at the start.
	LastEvent string
	// FetchFrom is an engine that has more of the prompt cached; the zero value if nothing is to be
	// fetched.
	FetchFrom upstreamstate.Upstream
	// Backup is the engine to which the run is copied while it proceeds; the zero value if it is
	// not copied.
	Backup upstreamstate.Upstream
	// Priority is that of the organisation or of the route; 0 is the most urgent.
	Priority int
	// Identity says who the request comes from.
	Identity routes.Identity
	// Deferred is set if the engine is to process the prompt after all prompts that are not
	// deferred.
	Deferred bool
	// Continues is set if the caller has received part of the answer.
	Continues bool
	// Prompt is set if the request has a prompt.
	Prompt bool
	// Attempts records the sends of the request, which Budget pays for.
	Attempts *attempt.Attempts
	Budget   *attempt.Budget
	// Granted is set if capacity for this send was already reserved within the upstream's rate limit.
	Granted bool
}

// continuesAtCopy reports whether the upstream holds the copy of the run that continues. No other
// upstream can finish that run, so that it does not count as new work.
func (s Send) continuesAtCopy() bool { return s.Continues && s.KV.Engine.ID == s.To.ID }

// Reply is an upstream's answer to a request that it ran. Its body must be closed.
type Reply struct {
	Status int
	// Header holds the upstream's fields that are passed to the caller.
	Header http.Header
	// Version is the software version of the engine that generates, for an answer that another instance passes on.
	Version string
	// Unframed is set if the body has neither a length nor chunks, so that it ends with its connection.
	Unframed bool
	Body     io.ReadCloser
	Load     upstreamstate.Load
	// CheckPeer asks the instance that passes the answer on whether it still serves; nil for an answer of an upstream.
	CheckPeer func(ctx context.Context) error
}

// Errors returned by a Sender. Compare with errors.Is.
var (
	// ErrNotSent: no byte of the request was sent.
	ErrNotSent = errors.New("relay: not sent")
	// ErrConnectTimeout is the ErrNotSent of a request whose connection was not established in
	// time.
	ErrConnectTimeout = errors.WithMessage(ErrNotSent, "connect timeout")
	// ErrConnectRefused is the ErrNotSent of a request whose connection was refused.
	ErrConnectRefused = errors.WithMessage(ErrNotSent, "connection refused")
	// ErrDeclined is the ErrNotSent of a request whose upstream announced that it accepts none at
	// the moment. The upstream was not contacted.
	ErrDeclined = errors.WithMessage(ErrNotSent, "the upstream accepts no requests now")
	// ErrLimited, ErrDraining and ErrBackingOff are the kinds of ErrDeclined, by what was
	// announced.
	ErrLimited    = errors.WithMessage(ErrDeclined, "its rate limit leaves no room")
	ErrDraining   = errors.WithMessage(ErrDeclined, "it is draining")
	ErrBackingOff = errors.WithMessage(ErrDeclined, "it requested a backoff")
	// ErrOtherVersion is the ErrDeclined of a request that must be served at another software version than the
	// upstream's.
	ErrOtherVersion = errors.WithMessage(ErrDeclined, "it runs another software version")
	// ErrBudgetExhausted: nothing was sent, because the send is a retry and the budget allows none.
	ErrBudgetExhausted = errors.WithMessage(ErrNotSent, "retry budget exhausted")
	// ErrRefused: the upstream answered that it did not run the request.
	ErrRefused = errors.New("relay: the upstream did not run it")
	// ErrAddressReassigned: another upstream has the address now. It did not run the request.
	ErrAddressReassigned = errors.New("relay: another upstream has the address")
	// ErrNoValidAnswer: the request was sent, but no valid answer was received.
	ErrNoValidAnswer = errors.New("relay: no valid answer")
	// ErrCutOff is the ErrNoValidAnswer of a request whose connection was closed by the upstream's
	// side before the end of the answer.
	ErrCutOff = errors.WithMessage(ErrNoValidAnswer, "cut off")
	// ErrNoSuchRun: the engine does not work on the run.
	ErrNoSuchRun = errors.New("relay: the engine has no such run")
	// ErrUnacknowledged is the ErrNoValidAnswer of a request whose connection timed out because the
	// upstream's machine acknowledged nothing.
	ErrUnacknowledged = errors.WithMessage(ErrNoValidAnswer, "unacknowledged")
)

// WrapReadError returns the error of a request that was sent but whose answer could not be read
// completely: ErrCutOff, ErrUnacknowledged or ErrNoValidAnswer.
func WrapReadError(err error) error {
	if errors.Is(err, errUnprovenEnd) {
		return err
	}
	var exceeded *readlimit.Exceeded
	if errors.As(err, &exceeded) {
		return &cutAtBound{exceeded}
	}
	for _, cut := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errPartialEvent} {
		if errors.Is(err, cut) {
			return errors.WithMessage(ErrCutOff, err.Error())
		}
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		return errors.WithMessage(ErrUnacknowledged, err.Error())
	}
	return errors.WithMessage(ErrNoValidAnswer, err.Error())
}

// cutAtBound is the ErrNoValidAnswer of a request whose answer exceeded a bound.
type cutAtBound struct{ exceeded *readlimit.Exceeded }

// Error implements error.
func (e *cutAtBound) Error() string { return e.exceeded.Error() + ": " + ErrNoValidAnswer.Error() }

// Unwrap implements errors.Is and errors.As.
func (e *cutAtBound) Unwrap() []error { return []error{ErrNoValidAnswer, e.exceeded} }

// ranNothing reports whether an error implies that the upstream ran nothing.
func ranNothing(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) || errors.Is(err, ErrAddressReassigned)
}

// Sender is the adapter to the upstreams. Cancelling the context stops the upstream's work on a
// request.
type Sender interface {
	// SetStatusHandler sets the function to call with what upstreams state about themselves in
	// any answer, whatever was requested. It is called once, before all other methods.
	SetStatusHandler(handle func(from upstreamstate.Upstream, status upstreamstate.UpstreamStatus))
	// Send runs a request on an upstream and returns when its answer begins.
	Send(ctx context.Context, req *Request, s Send) (*Reply, error)
	// Prefill makes an engine process the prompt of a request and keep the KV cache.
	Prefill(ctx context.Context, req *Request, s Send) (KV, upstreamstate.Load, error)
	// Free drops a KV cache that will not be fetched.
	Free(ctx context.Context, kv KV) error
	// Crashed reports whether an upstream's process has ended: its machine responds, but no process
	// listens at its address, or the process of another upstream does. The latter is checked with a
	// request to the health path if the service has one. An error means that the state could not be
	// determined.
	Crashed(ctx context.Context, to upstreamstate.Upstream, healthPath string) (bool, error)
	// Alive reports whether an upstream's process is running now: it answers a request, or keeps a new connection open. If
	// the health path is empty, no request is sent. An error means that the state could not be determined.
	Alive(ctx context.Context, to upstreamstate.Upstream, healthPath string) (bool, error)
	// Runs asks an engine what it works on. An error means that its process did not answer.
	Runs(ctx context.Context, engine upstreamstate.Upstream) (EngineRuns, error)
	// Stop has an engine stop a run of a request, and move its memory to another engine. The KV cache is to be freed; its handle
	// is empty if the engine names none. The error is ErrNoSuchRun if the engine has no such run.
	Stop(ctx context.Context, engine upstreamstate.Upstream, request string, to upstreamstate.Upstream) (KV, error)
}

// Outcome is what a refusal says about the request.
type Outcome int

const (
	// NotRun: no part of the request ran, and none will.
	NotRun Outcome = iota
	// Unknown: the request may have run.
	Unknown
	// NoRoute: the configuration has no route for the request.
	NoRoute
	// Unauthenticated: the route requires an API key, and the request has none that is known.
	// Nothing ran.
	Unauthenticated
	// OverQuota: the organisation's quota is exhausted. Nothing ran, and nothing will.
	OverQuota
	// TimedOut: the timeout of the request expired. It may have run.
	TimedOut
)

// String returns the outcome's text for logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	case NoRoute:
		return "no route"
	case Unauthenticated:
		return "unauthenticated"
	case OverQuota:
		return "over quota"
	case TimedOut:
		return "timed out"
	default:
		return "invalid outcome"
	}
}

// Refusal is the error of a request that ended without an answer.
type Refusal struct {
	Outcome Outcome
	// Reason is a short text for logs and metrics.
	Reason string
	// RetryIn is when the caller should retry; 0 if it should not.
	RetryIn time.Duration
	// Elsewhere is set if the request was forwarded here and another instance may serve it.
	Elsewhere bool
}

// Error implements error.
func (r *Refusal) Error() string { return "relay: " + r.Reason }

// ErrAnswerAborted ends an answer that has begun and cannot be finished. The caller's connection
// must be closed without completing the answer.
var ErrAnswerAborted = errors.New("relay: the answer broke off")

// ErrCallerDisconnected: the caller no longer waits for the answer.
var ErrCallerDisconnected = errors.New("relay: the caller disconnected")
