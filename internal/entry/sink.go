package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/stream"
)

// shape is the format of an answer in the caller protocol.
type shape interface {
	// chunk returns a part of a streamed answer; first marks its first part.
	chunk(text string, finish *string, first bool) callerapi.Choice
	// full returns the choice of a complete answer.
	full(text string, finish *string) callerapi.Choice
	// objects returns the object names of a chunk and of a complete answer.
	objects() (chunk, full string)
	idPrefix() string
}

// roleAssistant is the author of each answer in a chat.
const roleAssistant = "assistant"

// chatShape is the format of chat completions.
type chatShape struct{}

func (chatShape) chunk(text string, finish *string, first bool) callerapi.Choice {
	delta := &callerapi.ChatMessage{Content: text}
	if first {
		delta.Role = roleAssistant
	}
	return callerapi.Choice{Delta: delta, FinishReason: finish}
}

func (chatShape) full(text string, finish *string) callerapi.Choice {
	return callerapi.Choice{Message: &callerapi.ChatMessage{Role: roleAssistant, Content: text}, FinishReason: finish}
}

func (chatShape) objects() (chunk, full string) { return "chat.completion.chunk", "chat.completion" }

func (chatShape) idPrefix() string { return "chatcmpl-" }

// textShape is the format of plain completions.
type textShape struct{}

func (textShape) chunk(text string, finish *string, _ bool) callerapi.Choice {
	return callerapi.Choice{Text: &text, FinishReason: finish}
}

func (s textShape) full(text string, finish *string) callerapi.Choice {
	return s.chunk(text, finish, false)
}

func (textShape) objects() (chunk, full string) { return "text_completion", "text_completion" }

func (textShape) idPrefix() string { return "cmpl-" }

// responder is a sink that writes the response to a caller.
type responder interface {
	sink
	finish() error
	// fail tells the caller that the answer is incomplete.
	fail(err error) error
}

func newSink(c *echo.Context, shape shape, comp *completion, writeTimeout time.Duration) responder {
	base := response{
		c: c, shape: shape, comp: comp, created: time.Now().Unix(),
		body: deadlineWriter{w: c.Response(), timeout: writeTimeout},
	}
	if comp.resume != nil {
		base.tokens = comp.resume.Next
		if comp.resume.Done {
			base.tokens-- // the last piece has no text
		}
	}
	if comp.streamed {
		return &streamedResponse{response: base}
	}
	return &bufferedResponse{response: base}
}

// response is the part that the buffered and the streamed response share.
type response struct {
	c       *echo.Context
	shape   shape
	comp    *completion
	created int64
	body    deadlineWriter
	// tokens is the number of tokens of the answer so far, including those before a resumption.
	tokens int
}

func (r *response) usage() *callerapi.Usage {
	return &callerapi.Usage{
		PromptTokens: r.comp.promptTokens, CompletionTokens: r.tokens,
		TotalTokens: r.comp.promptTokens + r.tokens,
	}
}

func (r *response) message(object string, choices ...callerapi.Choice) callerapi.Response {
	return callerapi.Response{
		ID: r.shape.idPrefix() + r.comp.id, Object: object, Created: r.created,
		Model: r.comp.requestedModel, Choices: choices,
	}
}

// bufferedResponse responds with one JSON object.
type bufferedResponse struct {
	response
	text         strings.Builder
	finishReason string
}

func (w *bufferedResponse) piece(piece engine.Piece, _ stream.ResumeToken) error {
	w.text.WriteString(piece.Text)
	if piece.Finish != "" {
		w.finishReason = string(piece.Finish)
		return nil
	}
	w.tokens++
	return nil
}

func (w *bufferedResponse) keepAlive() error { return nil }

func (w *bufferedResponse) finish() error {
	_, object := w.shape.objects()
	message := w.message(object, w.shape.full(w.text.String(), &w.finishReason))
	message.Usage = w.usage()
	data, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "entry: encode the answer")
	}
	w.c.Response().Header().Set("Content-Type", "application/json")
	w.c.Response().WriteHeader(http.StatusOK)
	return w.body.writeAll(data)
}

func (w *bufferedResponse) fail(err error) error {
	return err
}

// streamedResponse responds with server-sent events. The ID of each event lets the caller resume on any
// instance.
type streamedResponse struct {
	response
	started bool
	event   []byte // buffer, reused for each piece
}

func (s *streamedResponse) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.c.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.c.Response().WriteHeader(http.StatusOK)
}

func (s *streamedResponse) piece(piece engine.Piece, token stream.ResumeToken) error {
	s.start()
	var finish *string
	if piece.Finish != "" {
		reason := string(piece.Finish)
		finish = &reason
	}
	if piece.Finish == "" {
		s.tokens++
	}
	object, _ := s.shape.objects()
	data, err := json.Marshal(s.message(object, s.shape.chunk(piece.Text, finish, piece.N == 0)))
	if err != nil {
		return errors.Wrap(err, "entry: encode a chunk")
	}
	event := append(s.event[:0], "id: "...)
	event = token.Append(event)
	event = append(event, "\ndata: "...)
	event = append(event, data...)
	s.event = append(event, "\n\n"...)
	return s.send(s.event)
}

// keepAlive sends a comment, so that the connection is not idle while no piece comes. From then on a
// failure is reported as an event instead of a status.
func (s *streamedResponse) keepAlive() error {
	s.start()
	return s.write(": waiting\n\n")
}

func (s *streamedResponse) finish() error {
	s.start()
	if s.comp.includeUsage {
		object, _ := s.shape.objects()
		message := s.message(object)
		message.Choices, message.Usage = []callerapi.Choice{}, s.usage()
		data, err := json.Marshal(message)
		if err != nil {
			return errors.Wrap(err, "entry: encode the usage")
		}
		return s.write(fmt.Sprintf("data: %s\n\ndata: [DONE]\n\n", data))
	}
	return s.write("data: [DONE]\n\n")
}

func (s *streamedResponse) fail(err error) error {
	if !s.started {
		return err
	}
	var refused *refusal
	if !errors.As(err, &refused) {
		refused = unknownOutcome("engine_failed", "the answer broke off; resume with Last-Event-ID")
	}
	data, marshalErr := json.Marshal(callerapi.ErrorBody{Error: refused.body})
	if marshalErr != nil {
		return errors.Wrap(marshalErr, "entry: encode the error event")
	}
	return s.write(fmt.Sprintf("event: error\ndata: %s\n\n", data))
}

func (s *streamedResponse) write(text string) error {
	return s.send([]byte(text))
}

func (s *streamedResponse) send(event []byte) error {
	if err := s.body.writeAll(event); err != nil {
		return err
	}
	return s.body.flush()
}

func modelList(doc *config.Config, organisation *config.Organisation) callerapi.ModelList {
	list := callerapi.ModelList{Object: "list", Data: []callerapi.ModelItem{}}
	for i := range doc.Models {
		m := &doc.Models[i]
		if !mayUse(m, organisation) {
			continue
		}
		list.Data = append(list.Data, callerapi.ModelItem{ID: m.Name, Object: "model", OwnedBy: "sassafrasfield"})
		for _, adapter := range m.Adapters {
			list.Data = append(list.Data, callerapi.ModelItem{ID: m.Name + ":" + adapter, Object: "model", OwnedBy: "sassafrasfield"})
		}
	}
	return list
}
