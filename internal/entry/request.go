package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/connlimit"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/httptransport"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/stream"
)

// charsPerToken is used to estimate the number of tokens of a prompt without a tokenizer.
const charsPerToken = 4

// completion is a validated completion request.
type completion struct {
	id             string
	organisation   *config.Organisation
	requestedModel string // as the caller wrote it, with adapter and version
	modelName      string
	adapter        string
	// version is the model version of the answer: the requested one, or that of the engine that was chosen.
	version string
	// requestedVersion is the version that the caller wrote; empty for any.
	requestedVersion string
	prompt           string
	promptTokens     int
	maxTokens        int
	seed             int64
	priority         int
	sampling         engine.Sampling
	// pool is the pool in which the request was placed last.
	pool string
	// kvHandle is the handle of the prompt's KV cache at the decode engine.
	kvHandle string
	// prefix has the hashes of the prompt's blocks once Server.prefix has computed them.
	prefix []uint64
	// deadline is the longest time to the first token that the caller accepts; 0 if the caller set none.
	deadline time.Duration
	// expectedFirstToken is the predicted time of the first token; 0 if there is no prediction or the
	// first token has come.
	expectedFirstToken time.Duration
	// admittedAt is when the request was admitted.
	admittedAt   time.Duration
	streamed     bool
	includeUsage bool
	// resume is the token of an interrupted answer that is to be resumed, or nil.
	resume *stream.ResumeToken
	// content is the hash of the requested content, which is the same when the request is sent again.
	content quarantine.Subject
	// parts are the parts of the prompt that crashes are counted against.
	parts []quarantine.Subject
	// crashed is set once an engine has crashed under the request.
	crashed bool
}

// readCompletion reads and validates a request.
func (s *Server) readCompletion(c *echo.Context) (*completion, error) {
	organisation, err := s.authenticate(c.Request())
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	var req callerapi.Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, badRequest("", "the body is no valid request: "+err.Error())
	}
	comp := &completion{
		organisation: organisation, streamed: req.Stream,
		content: quarantine.ContentOf(c.Request().Method, "", c.Request().URL.Path, body),
	}
	if err := s.applyBody(comp, &req); err != nil {
		return nil, err
	}
	if err := s.readHeaders(comp, c.Request().Header); err != nil {
		return nil, err
	}
	return comp, nil
}

func (s *Server) authenticate(r *http.Request) (*config.Organisation, error) {
	organisation, ok := s.state.organisation(apikey.Read(r.Header))
	if !ok {
		return nil, unauthorized()
	}
	return organisation, nil
}

func (s *Server) readBody(c *echo.Context) ([]byte, error) {
	limit := int64(s.settings.Limits.MaxBodyBytes)
	if c.Request().ContentLength > limit {
		c.Response().Header().Set("Connection", "close") // the body is not read
		return nil, bodyTooLarge(limit)
	}
	connection := http.NewResponseController(c.Response())
	_ = connection.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout)) // a response recorder in tests has no deadline
	body, err := httptransport.ReadSized(http.MaxBytesReader(c.Response(), c.Request().Body, limit), c.Request().ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	if errors.Is(err, connlimit.ErrNoRoom) {
		c.Response().Header().Set("Connection", "close") // the rest of the body is not read
		return nil, noRoom()
	}
	if err != nil {
		return nil, badRequest("", "the body could not be read whole")
	}
	_ = connection.SetReadDeadline(time.Time{}) // from here on, a read only detects that the caller disconnects
	return body, nil
}

func bodyTooLarge(limit int64) *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, body: callerapi.Error{
		Message: fmt.Sprintf("the body has over %d bytes", limit),
		Type:    "invalid_request_error", Code: "body_too_large", Outcome: callerapi.OutcomeNotRun,
	}}
}

func (s *Server) applyBody(comp *completion, req *callerapi.Request) error {
	comp.requestedModel = req.Model
	comp.modelName, comp.adapter, comp.requestedVersion = callerapi.SplitModel(req.Model)
	comp.version = comp.requestedVersion
	model := s.state.config().Model(comp.modelName)
	if model == nil || !mayUse(model, comp.organisation) {
		return notFound("model_not_found", fmt.Sprintf("the model %q does not exist or is not yours to use", req.Model))
	}
	if req.N != nil && *req.N != 1 {
		return badRequest("n", "only n = 1 is supported")
	}
	comp.prompt = req.Text()
	if comp.prompt == "" {
		return badRequest("prompt", "the prompt is empty")
	}
	comp.parts = promptParts(comp.modelName, comp.prompt)
	comp.promptTokens = (len(comp.prompt) + charsPerToken - 1) / charsPerToken
	limit := s.settings.Limits.MaxPromptTokens
	if model.MaxPromptTokens > 0 {
		limit = min(limit, model.MaxPromptTokens)
	}
	if comp.promptTokens > limit {
		return badRequest("prompt", fmt.Sprintf("the prompt has about %d tokens, over the limit of %d", comp.promptTokens, limit))
	}
	comp.maxTokens = req.Limit(s.settings.Limits.MaxAnswerTokens)
	if comp.maxTokens < 1 || comp.maxTokens > s.settings.Limits.MaxAnswerTokens {
		return badRequest("max_tokens", fmt.Sprintf("want 1 to %d", s.settings.Limits.MaxAnswerTokens))
	}
	comp.sampling = engine.Sampling{
		Temperature: req.Temperature, TopP: req.TopP, Stop: req.Stop,
		PresencePenalty: req.PresencePenalty, FrequencyPenalty: req.FrequencyPenalty,
	}
	comp.includeUsage = req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	comp.seed = int64(rand.Uint32())
	if req.Seed != nil {
		comp.seed = *req.Seed
	}
	return nil
}

func mayUse(model *config.Model, organisation *config.Organisation) bool {
	return len(model.Callers) == 0 || slices.Contains(model.Callers, organisation.Name)
}

func (s *Server) readHeaders(comp *completion, header http.Header) error {
	if err := readPriorityAndDeadline(comp, header); err != nil {
		return err
	}
	return comp.identify(header.Get(headerLastEventID))
}
