// Package testcaller is a small client of the callers' protocol, for the demo,
// the tests and the load runs.
package testcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"sassafrasfield/internal/callerapi"
)

// Caller sends requests with one API key.
type Caller struct {
	Key  string
	HTTP *http.Client
}

// New returns a caller with connections of its own.
func New(key string) *Caller {
	return &Caller{Key: key, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Chat is a streamed chat completion.
type Chat struct {
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	// LastEventID resumes a broken answer.
	LastEventID string
	Header      http.Header
}

// Answer is what came of a streamed request.
type Answer struct {
	// Text that came, in order of arrival.
	Text string
	// LastID is the id of the last event; it resumes the answer.
	LastID string
	// Finish is the finish reason; empty when none came.
	Finish string
	// Done is true when the closing event came.
	Done   bool
	Status int
	// Error is the error object of a refusal or of an error event.
	Error *callerapi.Error
	// RetryAfter is the header of that name.
	RetryAfter string
}

// Event is called for each event of a stream, with its id and text.
type Event func(id, text string)

// Stream sends a chat completion and reads events until the end. The error is
// that of the connection; the answer holds what came before it.
func (c *Caller) Stream(ctx context.Context, entry string, chat Chat, onEvent Event) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": chat.Model, "stream": true, "max_tokens": chat.MaxTokens, "seed": chat.Seed,
		"messages": []callerapi.Message{{Role: "user", Content: callerapi.Content(chat.Prompt)}},
	})
	if err != nil {
		return Answer{}, errors.WithStack(err)
	}
	header := chat.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if chat.LastEventID != "" {
		header.Set("Last-Event-ID", chat.LastEventID)
	}
	res, err := c.Post(ctx, entry, "/v1/chat/completions", header, body)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	answer := Answer{Status: res.StatusCode, RetryAfter: res.Header.Get("Retry-After")}
	if res.StatusCode != http.StatusOK {
		answer.Error = readError(res.Body)
		return answer, nil
	}
	return answer, answer.read(res.Body, onEvent)
}

// Post sends one request with the caller's key.
func (c *Caller) Post(ctx context.Context, entry, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	return res, errors.WithStack(err)
}

func readError(body io.Reader) *callerapi.Error {
	var message callerapi.ErrorBody
	if err := json.NewDecoder(body).Decode(&message); err != nil {
		return &callerapi.Error{Message: err.Error()}
	}
	return &message.Error
}

// read takes the events of a stream.
func (a *Answer) read(body io.Reader, onEvent Event) error {
	lines := bufio.NewScanner(body)
	id := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "data":
			if value == "[DONE]" {
				a.Done = true
				return nil
			}
			if err := a.take(id, value, onEvent); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return errors.WithStack(err)
	}
	if a.Error != nil {
		return nil
	}
	return errors.WithStack(io.ErrUnexpectedEOF)
}

func (a *Answer) take(id, data string, onEvent Event) error {
	var chunk struct {
		callerapi.Response
		Error *callerapi.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "event")
	}
	if chunk.Error != nil {
		a.Error = chunk.Error
		return nil
	}
	a.LastID = id
	for _, choice := range chunk.Choices {
		text := ""
		if choice.Delta != nil {
			text = choice.Delta.Content
		}
		a.Text += text
		if choice.FinishReason != nil {
			a.Finish = *choice.FinishReason
		}
		if onEvent != nil {
			onEvent(id, text)
		}
	}
	return nil
}
