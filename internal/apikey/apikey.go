// Package apikey finds out whose request it is. It reads the API key that a request
// bears and looks its owner up. Keys are kept as hashes alone: no log line, metric or
// error that is made of these types can show one.
//
// It is pure, and may import nothing of the project. Callers: entry and relay (requests),
// routes and platform (the configuration's keys).
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Header is the header field that bears a key.
const Header = "Authorization"

// scheme is the one in which keys are given; its case does not matter.
const scheme = "bearer"

// Challenge tells a caller without a valid key how to give one, in WWW-Authenticate.
const Challenge = "Bearer"

// Hash is the SHA-256 sum of a key.
type Hash [sha256.Size]byte

// HashOf returns the hash of a key.
func HashOf(key string) Hash { return sha256.Sum256([]byte(key)) }

// ParseHash decodes a hash from hexadecimal.
func ParseHash(text string) (Hash, error) {
	var h Hash
	if hex.DecodedLen(len(text)) != len(h) {
		return h, errors.Errorf("apikey: a hash has %d digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, errors.Wrap(err, "apikey: hash")
}

// Credential is what a request bears. The zero value is no key.
type Credential struct {
	hash  Hash
	given bool
}

// Read returns the credential of a request's header. A request with several of the fields
// says nothing that can be relied on, and counts as one without a key.
func Read(header http.Header) Credential {
	fields := header[Header]
	if len(fields) != 1 {
		return Credential{}
	}
	given, key, _ := strings.Cut(strings.Trim(fields[0], " \t"), " ")
	key = strings.TrimLeft(key, " ")
	if !strings.EqualFold(given, scheme) || key == "" {
		return Credential{}
	}
	return Credential{hash: HashOf(key), given: true}
}

// Table finds the owner of a key. It is immutable once it is in use, and a lookup takes
// the same time for any number of keys.
type Table[O any] struct {
	owners map[Hash]O
}

// NewTable returns an empty table.
func NewTable[O any]() *Table[O] { return &Table[O]{owners: map[Hash]O{}} }

// Add gives a key to an owner unless it has one, and returns whose it is then.
func (t *Table[O]) Add(key Hash, owner O) O {
	if first, taken := t.owners[key]; taken {
		return first
	}
	t.owners[key] = owner
	return owner
}

// Owner returns the owner of a credential's key; false when nobody owns it.
func (t *Table[O]) Owner(c Credential) (O, bool) {
	if !c.given {
		var none O
		return none, false
	}
	owner, ok := t.owners[c.hash]
	return owner, ok
}

// Len counts the keys.
func (t *Table[O]) Len() int { return len(t.owners) }
