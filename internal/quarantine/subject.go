package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Subject is what crashes are counted against: the content of a whole request, or one part of a prompt. It is a hash
// that is the same for any caller and any request id.
type Subject uint64

// partBit is set in the subjects that are parts of prompts.
const partBit Subject = 1 << 63

// IsPart reports whether the subject is a part of a prompt.
func (s Subject) IsPart() bool { return s&partBit != 0 }

// Kind returns the kind of subject, as in logs.
func (s Subject) Kind() string {
	if s.IsPart() {
		return "part"
	}
	return "content"
}

// PartOf returns the subject of a part of the prompts that a service receives. A part may crash the engines of one
// service and not those of another.
func PartOf(service, id string) Subject {
	hash := xxhash.New()
	_, _ = hash.WriteString(service) // writing to a hash never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(id)
	return Subject(hash.Sum64()) | partBit
}

// ContentOf returns the subject of a request's content. It is the prefix of a cryptographic hash, so that no
// caller can craft a request that is mistaken for another caller's.
func ContentOf(method, host, target string, body []byte) Subject {
	hash := sha256.New()
	for _, field := range []string{method, host, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:]) // writing to a hash never fails
		_, _ = io.WriteString(hash, field)
	}
	hash.Write(body)
	return Subject(binary.BigEndian.Uint64(hash.Sum(nil))) &^ partBit
}

// ParseSubject parses the output of String.
func ParseSubject(text string) (Subject, error) {
	const hexadecimal, bits = 16, 64
	n, err := strconv.ParseUint(text, hexadecimal, bits)
	return Subject(n), errors.Wrap(err, "quarantine: subject")
}

// String returns the hash in hexadecimal, as in logs and in the keys of rows.
func (s Subject) String() string { return fmt.Sprintf("%016x", uint64(s)) }
