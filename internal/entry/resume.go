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

// headerLastEventID is the header with which server-sent events are resumed.
const headerLastEventID = "Last-Event-ID"

// identify names the request: anew, or after the token of a broken answer. The
// name ends with a checksum of the organisation and of what was asked, so that
// nobody gets at another's stream, and no answer goes on as another's: both
// are known from the request itself, so the token needs no secret.
func (c *completion) identify(token string) error {
	binding := c.binding()
	if token == "" {
		c.id = uuid.NewString() + "-" + binding
		return nil
	}
	parsed, err := stream.ParseToken(token)
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

// binding is a checksum of who asks for what.
func (c *completion) binding() string {
	asked, err := json.Marshal(struct {
		Organisation, Model, Prompt string
		MaxTokens                   int
		Sampling                    engine.Sampling
	}{c.organisation.Name, c.model, c.prompt, c.maxTokens, c.sampling})
	if err != nil {
		return "" // plain data always marshals
	}
	sum := sha256.Sum256(asked)
	return hex.EncodeToString(sum[:8])
}
