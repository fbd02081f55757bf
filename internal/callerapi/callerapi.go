// Package callerapi defines the messages of the protocol between callers and sf-entry, the OpenAI-style
// completions API. Source: the published API reference of that protocol.
package callerapi

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Headers that extend the protocol.
const (
	// HeaderPriority is an integer; requests with a higher one are served first.
	HeaderPriority = "X-Priority"
	// HeaderDeadline is the longest time to the first token that the caller accepts, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderIdempotencyKey identifies a call to a plain service that may be sent more than once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID is the ID of a completion, in its response.
	HeaderRequestID = "X-Request-Id"
	// HeaderOutcome repeats Error.Outcome.
	HeaderOutcome = "X-Outcome"
)

// Outcome says whether a refused or failed request ran.
type Outcome string

// Outcomes of a request that got no complete answer.
const (
	// OutcomeNotRun: nothing of the request ran.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Error is the protocol's error object, extended by the outcome.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code,omitempty"`
	Param   string  `json:"param,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. The protocol allows a string or a list of
// parts; text parts are joined.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content: want a string or a list of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Errorf("content: part type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*c = Content(joined.String())
	return nil
}

// Prompt is the prompt of a completion: a string or a list with one string.
type Prompt string

// UnmarshalJSON implements json.Unmarshaler.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*p = Prompt(text)
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil || len(list) != 1 {
		return errors.New("prompt: want a string or a list with one string")
	}
	*p = Prompt(list[0])
	return nil
}

// Stop lists the strings that end an answer: a string or a list of at most four.
type Stop []string

// maxStops is the protocol's limit.
const maxStops = 4

// UnmarshalJSON implements json.Unmarshaler.
func (s *Stop) UnmarshalJSON(data []byte) error {
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return errors.New("stop: want a string or a list of strings")
		}
		list = []string{text}
	}
	if len(list) > maxStops {
		return errors.Errorf("stop: want at most %d strings", maxStops)
	}
	*s = list
	return nil
}

// StreamOptions are options of a streamed answer.
type StreamOptions struct {
	// IncludeUsage requests a final chunk with the token counts.
	IncludeUsage bool `json:"include_usage"`
}

// Request is a completion or chat completion request. Fields of the protocol that are not listed here are
// accepted and ignored.
type Request struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Prompt              Prompt    `json:"prompt"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Seed                *int64    `json:"seed"`
	N                   *int      `json:"n"`
	User                string    `json:"user"`

	StreamOptions    *StreamOptions `json:"stream_options"`
	Temperature      *float64       `json:"temperature"`
	TopP             *float64       `json:"top_p"`
	PresencePenalty  *float64       `json:"presence_penalty"`
	FrequencyPenalty *float64       `json:"frequency_penalty"`
	Stop             Stop           `json:"stop"`
}

// Text returns the prompt as a single text.
func (r *Request) Text() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(string(m.Content))
		text.WriteString("\n")
	}
	return text.String()
}

// Limit returns the maximum number of tokens of the answer, or fallback if the request sets none.
func (r *Request) Limit(fallback int) int {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens
	}
	if r.MaxTokens != nil {
		return *r.MaxTokens
	}
	return fallback
}

// SplitModel parses "model" or "model:adapter", each optionally followed by "@version".
func SplitModel(name string) (model, adapter, version string) {
	name, version, _ = strings.Cut(name, "@")
	model, adapter, _ = strings.Cut(name, ":")
	return model, adapter, version
}

// Response is an answer or a chunk of a streamed answer.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a Response.
type Choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatMessage is a message of an answer.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage has the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ModelList is the response to /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelItem `json:"data"`
}

// ModelItem is one model of a ModelList.
type ModelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
