package forward

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
)

const (
	// secretKey is the key of the row with the secret.
	secretKey = "forward/secret"
	// secretTimeout bounds the reading of the row, and secretRetry is the time between two readings.
	secretTimeout = 300 * time.Millisecond
	secretRetry   = time.Second
	// secretHeader carries the secret in a call.
	secretHeader = "Sf-Instance-Secret"
)

// Secret is a value that only instances of the system can read, from the platform's table. It proves to an
// instance of another zone, which does not know the sender, that a call comes from an instance. It is read, and
// created, when it is needed for the first time. It is safe for concurrent use.
type Secret struct {
	table platform.Table
	log   *slog.Logger

	mu     sync.Mutex // protects all below; held while the row is read
	value  string
	readAt time.Time
}

// NewSecret returns the secret in a table.
func NewSecret(table platform.Table, log *slog.Logger) *Secret {
	return &Secret{table: table, log: log}
}

// get returns the secret; empty if it cannot be read now.
func (s *Secret) get(ctx context.Context) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value != "" || time.Since(s.readAt) < secretRetry {
		return s.value
	}
	s.readAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, secretTimeout)
	defer cancel()
	value, err := s.read(ctx)
	if err != nil {
		s.log.Info("forward: secret of the instances cannot be read", "error", err)
		return ""
	}
	s.value = value
	return value
}

// read reads the secret, or creates it.
func (s *Secret) read(ctx context.Context) (string, error) {
	row, err := s.table.Get(ctx, secretKey)
	if err == nil {
		return string(row.Value), nil
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return "", err
	}
	value := rand.Text()
	_, err = s.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: secretKey}}, Writes: []platform.Write{{Key: secretKey, Value: []byte(value)}},
	})
	if err == nil {
		return value, nil
	}
	row, err = s.table.Get(ctx, secretKey) // another instance may have created it
	return string(row.Value), err
}

// sign adds the secret to a call, if it can be read.
func (s *Secret) sign(ctx context.Context, header http.Header) {
	if value := s.get(ctx); value != "" {
		header.Set(secretHeader, value)
	}
}

// signed reports whether a call has the secret.
func (s *Secret) signed(ctx context.Context, header http.Header) bool {
	got := header.Get(secretHeader)
	if got == "" {
		return false
	}
	value := s.get(ctx)
	return value != "" && subtle.ConstantTimeCompare([]byte(got), []byte(value)) == 1
}
