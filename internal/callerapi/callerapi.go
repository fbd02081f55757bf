// Package callerapi has the messages of the protocol that callers speak: the
// OpenAI-style completions interface. Source: the published API reference of
// that protocol.
package callerapi

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Headers of ours in addition to the protocol.
const (
	// HeaderPriority is a whole number; a higher one goes first.
	HeaderPriority = "X-Priority"
	// HeaderDeadline is the time to the first token that the caller can bear,
	// in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderIdempotencyKey names a call to a plain service that may come
	// twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID has the id of a completion in its answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderOutcome repeats Error.Outcome.
	HeaderOutcome = "X-Outcome"
)

// Outcome tells whether a refused request ran.
type Outcome string

// Outcomes of a request that got no answer.
const (
	// OutcomeNotRun: nothing of the request ran.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: it may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Error is the protocol's error object with our outcome.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code,omitempty"`
	Param   string  `json:"param,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
}

// ErrorBody is the body of an error answer.
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

// Stop is where an answer ends: a string or a list of at most four.
type Stop []string

// maxStops is the protocol's bound.
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
	// IncludeUsage asks for a last chunk with the count of tokens.
	IncludeUsage bool `json:"include_usage"`
}

// Request is a completion or chat completion. Fields of the protocol that are
// not here are accepted and ignored.
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

// Text returns the prompt as one text.
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

// Limit returns the bound on the answer, or fallback when none is given.
func (r *Request) Limit(fallback int) int {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens
	}
	if r.MaxTokens != nil {
		return *r.MaxTokens
	}
	return fallback
}

// SplitModel reads "model", "model:adapter" and either with "@version".
func SplitModel(name string) (model, adapter, version string) {
	name, version, _ = strings.Cut(name, "@")
	model, adapter, _ = strings.Cut(name, ":")
	return model, adapter, version
}

// Response is an answer, or one chunk of a streamed one.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one answer of a Response.
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

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ModelList answers /v1/models.
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
