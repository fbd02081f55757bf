package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/google/uuid"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/stream"
)

// headerLastEventID is the header with which a caller resumes server-sent events.
const headerLastEventID = "Last-Event-ID"

// identify sets the request's ID: a new one, or the ID in the token of an interrupted answer. The ID ends
// with a checksum of the organisation and the request's parameters, so that a caller can neither read
// another organisation's stream nor continue an answer to a different request. Both are known from the
// request itself, so the token needs no secret.
func (c *completion) identify(token string) error {
	binding := c.binding()
	if token == "" {
		c.id = uuid.NewString() + "-" + binding
		return nil
	}
	parsed, err := stream.ParseResumeToken(token)
	if err != nil {
		return badRequest(headerLastEventID, err.Error())
	}
	if !c.streamed {
		return badRequest(headerLastEventID, "only a streamed answer is resumed; set stream")
	}
	if !strings.HasSuffix(parsed.Request, "-"+binding) {
		return badRequest(headerLastEventID, "the id belongs to another request; send the same body again")
	}
	if parsed.Next > c.maxTokens+1 {
		return badRequest(headerLastEventID, "the id is behind the end of the answer")
	}
	c.resume = &parsed
	c.id, c.seed, c.version = parsed.Request, parsed.Seed, parsed.Version
	return nil
}

// binding returns the checksum of the organisation and the request's parameters.
func (c *completion) binding() string {
	parameters, err := json.Marshal(struct {
		Organisation, Model, Prompt string
		MaxTokens                   int
		Sampling                    engine.Sampling
	}{c.organisation.Name, c.requestedModel, c.prompt, c.maxTokens, c.sampling})
	if err != nil {
		return "" // plain data always marshals
	}
	sum := sha256.Sum256(parameters)
	return hex.EncodeToString(sum[:8])
}
