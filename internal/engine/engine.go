// Package engine is the edge to model engines: generation, load reports, cache
// events, orders and the transfer of KV cache. The rest of the system knows
// the interface Engine alone; Client is the one adapter.
package engine

import (
	"context"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// Errors of an engine. Compare with errors.Is.
var (
	// ErrNotRun: the engine refused the request before it ran any of it.
	ErrNotRun = errors.New("engine: not run")
	// ErrUnreachable: the connection was refused; nothing ran.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrBroken: the engine went away after the request was sent.
	ErrBroken = errors.New("engine: connection broken")
	// ErrNoStream: the engine holds no such stream.
	ErrNoStream = errors.New("engine: no such stream")
	// ErrFenced: the engine refused an order with an old fencing number.
	ErrFenced = errors.New("engine: order fenced off")
)

// Request asks an engine to generate.
type Request struct {
	// ID names the stream. A second request with the ID of a stream that the
	// engine still holds attaches to that stream.
	ID      string `json:"id"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Version that the engine must have loaded; any when empty.
	Version string `json:"version,omitempty"`
	Prompt  string `json:"prompt"`
	// MaxTokens bounds the answer, the tokens of From included.
	MaxTokens int `json:"max_tokens"`
	// Seed fixes the sampling: the same request with the same seed yields the
	// same tokens on each engine that has the same model, version and adapter.
	Seed int64 `json:"seed"`
	// Sampling is passed on as the caller gave it.
	Sampling Sampling `json:"sampling"`
	// Priority of the request; a higher one goes first.
	Priority int `json:"priority"`
	// From is the number of the first token to send; earlier ones are
	// generated or read from KV cache, and not sent.
	From int `json:"from"`
	// Attach asks for a stream that the engine holds already, and for nothing
	// else: without it the engine answers ErrNoStream.
	Attach bool `json:"attach,omitempty"`
	// KVHandle names KV cache that Import brought to the engine.
	KVHandle string `json:"kv_handle,omitempty"`
}

// Sampling tells how tokens are chosen. What is nil is the engine's default.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	// Stop ends the answer before any of these texts.
	Stop []string `json:"stop,omitempty"`
}

// FinishReason tells why an answer ended.
type FinishReason string

// Reasons for the end of an answer.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Piece is one token of an answer.
type Piece struct {
	// N numbers the tokens of an answer from 0.
	N    int    `json:"n"`
	Text string `json:"text"`
	// Finish is set on the last piece, which has no text of its own.
	Finish FinishReason `json:"finish,omitempty"`
}

// Report is an engine's load as it was at Time.
type Report struct {
	Engine string `json:"engine"`
	// Boot changes each time the engine starts.
	Boot string `json:"boot"`
	// Seq rises with each report of one boot.
	Seq int64 `json:"seq"`
	// UnixMilli is the engine's own clock when it took the report. Compare it
	// with other reports of the same engine alone.
	UnixMilli int64 `json:"unix_milli"`
	// Accepted counts the requests taken since the boot. It tells which of an
	// entry's own placements the report accounts for.
	Accepted int64 `json:"accepted"`
	// Recent are ids of the newest requests taken, newest last.
	Recent []string `json:"recent,omitempty"`
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens are prompt tokens that wait to be processed.
	PrefillTokens int `json:"prefill_tokens"`
	// KVBlocksFree and KVBlocksTotal count pieces of KV memory.
	KVBlocksFree  int `json:"kv_blocks_free"`
	KVBlocksTotal int `json:"kv_blocks_total"`
	// PrefillRate is in prompt tokens a second, DecodeRate in generated tokens
	// a second for the whole engine, both as measured by the engine.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
}

// Order tells an engine which state to bring itself to. It names the wanted
// state, never a step, so that the same order twice is the same as once.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number. It rises with each order to an engine; its
	// upper half is the epoch of the lease that it was issued under.
	Fence int64              `json:"fence"`
	Want  config.EngineState `json:"want"`
}

// Status is an engine's read-back of its state.
type Status struct {
	Engine string             `json:"engine"`
	Boot   string             `json:"boot"`
	State  config.EngineState `json:"state"`
	// Changing is true while an order is being carried out.
	Changing bool `json:"changing"`
	// LastOrder is the id of the order that was taken last, LastFence its
	// fencing number. Engines that ignore fencing report both all the same.
	LastOrder string `json:"last_order"`
	LastFence int64  `json:"last_fence"`
	Running   int    `json:"running"`
	// Fault tells what went wrong with the last order; empty when nothing did.
	Fault string `json:"fault,omitempty"`
}

// CacheEvent tells of a prompt prefix that an engine cached or dropped.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents is a batch of cache events.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events"`
}

// KVExport is KV cache on its way to another engine.
type KVExport struct {
	Handle string `json:"handle"`
	// Source is host:port of the engine that holds the data. The importing
	// engine reads it from there, so that it does not cross an entry.
	Source string `json:"source"`
	Tokens int    `json:"tokens"`
}

// Engine is one model engine.
type Engine interface {
	// Generate starts or attaches to a stream. It returns once the engine took
	// the request. Errors: ErrNotRun, ErrUnreachable, ErrNoStream, ErrBroken.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Cancel ends a stream. A stream that the engine does not hold is no error.
	Cancel(ctx context.Context, id string) error
	// Report returns the newest load report, which lags.
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) (CacheEvents, error)
	// Order asks for a state. Errors: ErrFenced, ErrUnreachable, ErrBroken.
	Order(ctx context.Context, order Order) (Status, error)
	// Status reads the state back.
	Status(ctx context.Context) (Status, error)
	// Export prepares the KV cache of a stream for another engine.
	Export(ctx context.Context, id string) (KVExport, error)
	// Import fetches exported KV cache.
	Import(ctx context.Context, kv KVExport) error
}

// Stream is an answer on its way. It is used by one goroutine.
type Stream interface {
	// Next returns the next piece as it came: pieces may be late, repeated or
	// out of order. After the last one it returns io.EOF; a broken stream is
	// ErrBroken.
	Next() (Piece, error)
	// Close leaves the stream. It does not cancel it.
	Close() error
}

// NumberedStream is a Stream of an engine that numbers the requests it takes.
type NumberedStream interface {
	// Accepted returns the engine's boot and the value of its count
	// Report.Accepted at this request; an empty boot when it gave none.
	Accepted() (boot string, number int64)
}
