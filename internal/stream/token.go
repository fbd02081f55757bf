package stream

import (
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ResumeToken is the id of a server-sent event. With the request's body it lets any
// instance go on with the answer.
type ResumeToken struct {
	// Request names the stream at the engine.
	Request string
	// Engine that the stream ran on.
	Engine string
	// Version of the model that makes the answer.
	Version string
	// Seed of the sampling, so that another engine makes the same answer.
	Seed int64
	// Next is the number of the first piece not received.
	Next int
	// Sum is Assembler.Sum of the answer received.
	Sum uint64
	// Done is true when the last piece was received.
	Done bool
}

// tokenShape bounds each part: they come back from callers.
var tokenShape = regexp.MustCompile(
	`^[A-Za-z0-9-]{1,64}/[A-Za-z0-9._-]{1,63}/[A-Za-z0-9._~%:@&=+$-]{0,190}/-?[0-9]{1,19}/[0-9]{1,9}/[0-9a-f]{1,16}(/done)?$`)

// doneMark ends the token of the last piece.
const doneMark = "/done"

// String encodes the token.
func (t ResumeToken) String() string {
	return string(t.Append(nil))
}

// Append encodes the token at the end of b. It is called for each token of each
// answer.
func (t ResumeToken) Append(b []byte) []byte {
	for _, part := range []string{t.Request, t.Engine, url.PathEscape(t.Version)} {
		b = append(b, part...)
		b = append(b, '/')
	}
	b = strconv.AppendInt(b, t.Seed, 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(t.Next), 10)
	b = append(b, '/')
	b = strconv.AppendUint(b, t.Sum, 16)
	if t.Done {
		b = append(b, doneMark...)
	}
	return b
}

// ParseResumeToken reads what Token.String wrote.
func ParseResumeToken(text string) (ResumeToken, error) {
	if !tokenShape.MatchString(text) {
		return ResumeToken{}, errors.New("no resume token of this system")
	}
	text, done := strings.CutSuffix(text, doneMark)
	parts := strings.Split(text, "/")
	version, err := url.PathUnescape(parts[2])
	if err != nil {
		return ResumeToken{}, errors.Wrap(err, "resume token: version")
	}
	seed, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return ResumeToken{}, errors.Wrap(err, "resume token: seed")
	}
	next, err := strconv.Atoi(parts[4])
	if err != nil {
		return ResumeToken{}, errors.Wrap(err, "resume token: number")
	}
	sum, err := strconv.ParseUint(parts[5], 16, 64)
	if err != nil {
		return ResumeToken{}, errors.Wrap(err, "resume token: checksum")
	}
	return ResumeToken{
		Request: parts[0], Engine: parts[1], Version: version,
		Seed: seed, Next: next, Sum: sum, Done: done,
	}, nil
}
