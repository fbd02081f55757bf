// Package engine is the interface to model engines. It covers generation, load reports, cache events, orders
// and the transfer of KV cache. The rest of the system uses the interface Engine; Client implements it over
// HTTP.
package engine

import (
	"context"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// Errors of an engine. Compare with errors.Is.
var (
	// ErrNotRun means that the engine refused the request and ran no part of it.
	ErrNotRun = errors.New("engine: not run")
	// ErrUnreachable means that the connection was refused, so nothing ran.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrBroken means that the call failed after the request may have been sent.
	ErrBroken = errors.New("engine: connection broken")
	// ErrNoStream means that the engine has no such stream.
	ErrNoStream = errors.New("engine: no such stream")
	// ErrFenced means that the engine refused an order with an old fencing number.
	ErrFenced = errors.New("engine: order refused by fencing")
)

// Request is a request for generation.
type Request struct {
	// ID is the id of the stream. A second request with the ID of a stream that the engine still holds
	// attaches to that stream.
	ID      string `json:"id"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Version is the model version that the engine must have loaded. Empty means any.
	Version string `json:"version,omitempty"`
	Prompt  string `json:"prompt"`
	// MaxTokens is the maximum number of tokens of the answer, including those before From.
	MaxTokens int `json:"max_tokens"`
	// Seed is the seed of the sampling. The same request with the same seed yields the same tokens on each
	// engine that has the same model, version and adapter.
	Seed int64 `json:"seed"`
	// Sampling is forwarded unchanged from the caller.
	Sampling Sampling `json:"sampling"`
	// Priority is the priority of the request. Higher values are served first.
	Priority int `json:"priority"`
	// From is the number of the first token to send. Earlier tokens are generated or read from KV cache, but
	// not sent.
	From int `json:"from"`
	// Attach requests only to attach to a stream that the engine already holds. If there is no such stream,
	// the error is ErrNoStream.
	Attach bool `json:"attach,omitempty"`
	// KVHandle is the handle of KV cache that the engine has fetched by Import.
	KVHandle string `json:"kv_handle,omitempty"`
}

// Sampling has the sampling parameters. Nil means the engine's default.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	// Stop lists texts before which the answer ends.
	Stop []string `json:"stop,omitempty"`
}

// FinishReason is the reason for which an answer ended.
type FinishReason string

// Finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Piece is one token of an answer.
type Piece struct {
	// N is the number of the token in the answer, from 0.
	N    int    `json:"n"`
	Text string `json:"text"`
	// Finish is set on the last piece, which has no text.
	Finish FinishReason `json:"finish,omitempty"`
}

// Report is an engine's load at the time UnixMilli.
type Report struct {
	Engine string `json:"engine"`
	// Boot changes each time the engine starts.
	Boot string `json:"boot"`
	// Seq rises with each report of one boot.
	Seq int64 `json:"seq"`
	// UnixMilli is the time of the report on the engine's own clock. It is comparable only with other reports
	// of the same engine.
	UnixMilli int64 `json:"unix_milli"`
	// Accepted is the number of requests accepted since the boot. It shows which of an entry's own placements
	// the report accounts for.
	Accepted int64 `json:"accepted"`
	// Recent has the ids of the newest accepted requests, newest last.
	Recent []string `json:"recent,omitempty"`
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens that wait for prefill.
	PrefillTokens int `json:"prefill_tokens"`
	// KVBlocksFree and KVBlocksTotal count KV cache blocks.
	KVBlocksFree  int `json:"kv_blocks_free"`
	KVBlocksTotal int `json:"kv_blocks_total"`
	// PrefillRate is in prompt tokens per second, DecodeRate in generated tokens per second over all streams
	// of the engine. Both are measured by the engine.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
}

// Order requests a state from an engine. It names the wanted state and not a step towards it, so orders are
// idempotent.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number. It rises with each order to an engine. Its upper half is the epoch of the
	// lease under which the order was issued.
	Fence int64              `json:"fence"`
	Want  config.EngineState `json:"want"`
}

// Status is an engine's report of its state.
type Status struct {
	Engine string             `json:"engine"`
	Boot   string             `json:"boot"`
	State  config.EngineState `json:"state"`
	// Changing is true while an order is being carried out.
	Changing bool `json:"changing"`
	// LastOrder is the id of the order that was accepted last, LastFence its fencing number. Engines that
	// ignore fencing report both, too.
	LastOrder string `json:"last_order"`
	LastFence int64  `json:"last_fence"`
	Running   int    `json:"running"`
	// Fault describes the failure of the last order. It is empty if the order did not fail.
	Fault string `json:"fault,omitempty"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
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

// KVExport describes KV cache that another engine can import.
type KVExport struct {
	Handle string `json:"handle"`
	// Source is the host:port of the engine that holds the data. The importing engine reads the data from
	// there, so that it does not pass through an entry.
	Source string `json:"source"`
	Tokens int    `json:"tokens"`
}

// Engine is one model engine.
type Engine interface {
	// Generate starts a stream or attaches to one. It returns when the engine has accepted the request.
	// Errors: ErrNotRun, ErrUnreachable, ErrNoStream, ErrBroken.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Cancel cancels a stream. It is no error if the engine does not hold the stream.
	Cancel(ctx context.Context, id string) error
	// Report returns the newest load report, which may be out of date.
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) (CacheEvents, error)
	// Order requests a state. Errors: ErrFenced, ErrUnreachable, ErrBroken.
	Order(ctx context.Context, order Order) (Status, error)
	// Status returns the engine's state.
	Status(ctx context.Context) (Status, error)
	// Export prepares the KV cache of a stream for another engine.
	Export(ctx context.Context, id string) (KVExport, error)
	// Import fetches exported KV cache.
	Import(ctx context.Context, kv KVExport) error
}

// Stream is an answer that is being received. It must be used by one goroutine only.
type Stream interface {
	// Next returns the next piece as it was received. Pieces may be late, repeated or out of order. After the
	// last piece it returns io.EOF. If the stream breaks, the error is ErrBroken.
	Next() (Piece, error)
	// Close stops reading the stream. It does not cancel the stream at the engine.
	Close() error
}

// NumberedStream is a Stream of an engine that numbers the requests that it accepts.
type NumberedStream interface {
	// Accepted returns the engine's boot id and the value of its count Report.Accepted at this request. The
	// boot is empty if the engine sent none.
	Accepted() (boot string, number int64)
}
