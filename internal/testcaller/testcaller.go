// Package testcaller is a small client of the HTTP API that the system offers to callers. It sends
// requests with an API key and parses streamed chat completions. The demo, tests and load runs use
// it.
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

// New returns a caller with its own connection pool.
func New(key string) *Caller {
	return &Caller{Key: key, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Chat is a request for a streamed chat completion.
type Chat struct {
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	// LastEventID is the id of the last event received of an interrupted answer. It resumes that
	// answer.
	LastEventID string
	Header      http.Header
}

// Answer is the received part of the answer to a streamed request.
type Answer struct {
	// Text is the received text in order of arrival.
	Text string
	// LastID is the id of the last event. As Chat.LastEventID it resumes the answer.
	LastID string
	// Finish is the finish reason, or empty if none was received.
	Finish string
	// Done reports whether the closing event [DONE] was received.
	Done   bool
	Status int
	// Error is the error object of a response with a status other than 200, or of an error event.
	Error *callerapi.Error
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
}

// Event is a callback for each event of a stream, with the event's id and text.
type Event func(id, text string)

// Stream requests a chat completion and reads events until the answer ends. The error is a
// connection or decoding error; the answer then holds what was received before it.
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
	return answer, answer.readEvents(res.Body, onEvent)
}

// Post sends one POST request with the caller's API key.
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

// readEvents reads the events of a stream into the answer. It returns io.ErrUnexpectedEOF if the
// stream ends without a closing event or an error event.
func (a *Answer) readEvents(body io.Reader, onEvent Event) error {
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
			if err := a.applyEvent(id, value, onEvent); err != nil {
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

// applyEvent adds the data of one event to the answer and calls onEvent.
func (a *Answer) applyEvent(id, data string, onEvent Event) error {
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
