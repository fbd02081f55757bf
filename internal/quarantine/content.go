package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// Content is a hash of what a request asks for. It is the same for any caller and any request id.
type Content uint64

// ContentOf returns the hash of a request's content. It is the prefix of a cryptographic hash, so that no
// caller can craft a request that is mistaken for another caller's.
func ContentOf(method, host, target string, body []byte) Content {
	hash := sha256.New()
	for _, field := range []string{method, host, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:]) // writing to a hash never fails
		_, _ = io.WriteString(hash, field)
	}
	hash.Write(body)
	return Content(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// ParseContent parses the output of String.
func ParseContent(text string) (Content, error) {
	const hexadecimal, bits = 16, 64
	n, err := strconv.ParseUint(text, hexadecimal, bits)
	return Content(n), errors.Wrap(err, "quarantine: content")
}

// String returns the hash in hexadecimal, as in logs and in the keys of rows.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }
