package stream

import (
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ResumeToken is the id of a server-sent event. With it and the request's body, any instance can resume the
// answer.
type ResumeToken struct {
	// Request is the id of the stream at the engine.
	Request string
	// Engine is the engine that generated the answer.
	Engine string
	// Version is the version of the model that generates the answer.
	Version string
	// Seed is the seed of the sampling, with which another engine generates the same answer.
	Seed int64
	// Next is the number of the first piece that the caller has not received.
	Next int
	// Sum is Assembler.Sum of the answer that the caller has received.
	Sum uint64
	// Done is true if the caller has received the last piece.
	Done bool
}

// resumeTokenPattern limits the length and characters of each part, because callers send tokens back.
var resumeTokenPattern = regexp.MustCompile(
	`^[A-Za-z0-9-]{1,64}/[A-Za-z0-9._-]{1,63}/[A-Za-z0-9._~%:@&=+$-]{0,190}/-?[0-9]{1,19}/[0-9]{1,9}/[0-9a-f]{1,16}(/done)?$`)

// doneSuffix is the suffix of the token of the last piece.
const doneSuffix = "/done"

// String encodes the token.
func (t ResumeToken) String() string {
	return string(t.Append(nil))
}

// Append appends the encoded token to b. It is called for each piece of each answer.
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
		b = append(b, doneSuffix...)
	}
	return b
}

// ParseResumeToken parses the output of ResumeToken.String.
func ParseResumeToken(text string) (ResumeToken, error) {
	if !resumeTokenPattern.MatchString(text) {
		return ResumeToken{}, errors.New("no resume token of this system")
	}
	text, done := strings.CutSuffix(text, doneSuffix)
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
