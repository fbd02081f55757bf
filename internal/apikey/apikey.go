// Package apikey determines the owner of a request. It reads the API key that a request carries and looks up
// its owner. Only the hashes of keys are kept, so no log line, metric or error that is made of these types
// can reveal a key.
//
// Inputs are the headers of requests and the hashes of the configured keys. The output is the owner of a key.
// The package does no I/O and must not import other packages of this project. Callers: entry and relay
// (requests), routes and platform (the keys of the configuration).
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Header is the header field that carries a key.
const Header = "Authorization"

// scheme is the authentication scheme of keys. It is compared without regard to case.
const scheme = "bearer"

// Challenge is the value of WWW-Authenticate in the answer to a caller without a valid key.
const Challenge = "Bearer"

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// HashOf returns the hash of a key.
func HashOf(key string) Hash { return sha256.Sum256([]byte(key)) }

// ParseHash decodes a hexadecimal hash.
func ParseHash(text string) (Hash, error) {
	var h Hash
	if hex.DecodedLen(len(text)) != len(h) {
		return h, errors.Errorf("apikey: a hash has %d digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, errors.Wrap(err, "apikey: hash")
}

// Credential is the key that a request carries, as a hash. The zero value is a request without a key.
type Credential struct {
	hash    Hash
	present bool
}

// Read returns the credential in a request's header. A request with several Authorization fields is
// ambiguous, and is treated as one without a key.
func Read(header http.Header) Credential {
	fields := header[Header]
	if len(fields) != 1 {
		return Credential{}
	}
	givenScheme, key, _ := strings.Cut(strings.Trim(fields[0], " \t"), " ")
	key = strings.TrimLeft(key, " ")
	if !strings.EqualFold(givenScheme, scheme) || key == "" {
		return Credential{}
	}
	return Credential{hash: HashOf(key), present: true}
}

// Table maps keys to their owners. It must not be changed once it is in use. The time of a lookup does not
// depend on the number of keys.
type Table[O any] struct {
	owners map[Hash]O
}

// NewTable returns an empty table.
func NewTable[O any]() *Table[O] { return &Table[O]{owners: map[Hash]O{}} }

// Add assigns a key to an owner unless it has one already, and returns the owner of the key.
func (t *Table[O]) Add(key Hash, owner O) O {
	if first, exists := t.owners[key]; exists {
		return first
	}
	t.owners[key] = owner
	return owner
}

// Owner returns the owner of a credential's key; false if there is none.
func (t *Table[O]) Owner(c Credential) (O, bool) {
	if !c.present {
		var none O
		return none, false
	}
	owner, ok := t.owners[c.hash]
	return owner, ok
}

// Len returns the number of keys.
func (t *Table[O]) Len() int { return len(t.owners) }
