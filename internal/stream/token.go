package stream

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Token is the id of a server-sent event. With the request's body it lets any
// instance go on with the answer.
type Token struct {
	// Request names the stream at the engine.
	Request string
	// Engine that the stream ran on.
	Engine string
	// Seed of the sampling, so that another engine makes the same answer.
	Seed int64
	// Next is the number of the first piece not received.
	Next int
	// Sum is the checksum of the text received.
	Sum uint64
}

// tokenShape bounds each part: they come back from callers.
var tokenShape = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}/[A-Za-z0-9._-]{1,63}/-?[0-9]{1,19}/[0-9]{1,9}/[0-9a-f]{1,16}$`)

// String encodes the token.
func (t Token) String() string {
	return fmt.Sprintf("%s/%s/%d/%d/%x", t.Request, t.Engine, t.Seed, t.Next, t.Sum)
}

// ParseToken reads what Token.String wrote.
func ParseToken(text string) (Token, error) {
	if !tokenShape.MatchString(text) {
		return Token{}, errors.New("no resume token of this system")
	}
	parts := strings.Split(text, "/")
	seed, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return Token{}, errors.Wrap(err, "resume token: seed")
	}
	next, err := strconv.Atoi(parts[3])
	if err != nil {
		return Token{}, errors.Wrap(err, "resume token: number")
	}
	sum, err := strconv.ParseUint(parts[4], 16, 64)
	if err != nil {
		return Token{}, errors.Wrap(err, "resume token: checksum")
	}
	return Token{Request: parts[0], Engine: parts[1], Seed: seed, Next: next, Sum: sum}, nil
}
