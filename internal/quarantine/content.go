package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// Content names what a request asks for, whoever brings it and under which id.
type Content uint64

// ContentOf returns the name of a request's content. It is cut from a hash that cannot be
// inverted, so that no caller makes a request which is taken for another caller's.
func ContentOf(method, host, target string, body []byte) Content {
	hash := sha256.New()
	for _, field := range []string{method, host, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:]) // a hash takes all that is written
		_, _ = io.WriteString(hash, field)
	}
	hash.Write(body)
	return Content(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// ParseContent reads what String returns.
func ParseContent(text string) (Content, error) {
	const hexadecimal, bits = 16, 64
	n, err := strconv.ParseUint(text, hexadecimal, bits)
	return Content(n), errors.Wrap(err, "quarantine: content")
}

// String returns the name as logs and rows have it.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }
