package gossip

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
)

// drawDocument draws a small document; names repeat between draws.
func drawDocument(t *rapid.T, version int64) *config.Config {
	doc := &config.Config{Version: version, Intent: version}
	for i := range 5 {
		if rapid.Bool().Draw(t, "engine") {
			doc.Engines = append(doc.Engines, config.Engine{
				ID: fmt.Sprintf("e%d", i), Routing: rapid.SampledFrom([]config.Routing{config.RoutingServing, config.RoutingOut}).Draw(t, "routing"),
			})
		}
		if rapid.Bool().Draw(t, "organisation") {
			doc.Organisations = append(doc.Organisations, config.Organisation{Name: fmt.Sprintf("o%d", i), Share: rapid.Float64Range(1, 3).Draw(t, "share")})
		}
	}
	return doc
}

// TestDeltaReproducesTheDocument checks that a delta, unless Diff says that none
// is possible, reproduces the next document exactly.
func TestDeltaReproducesTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawDocument(t, 1), drawDocument(t, 2)
		d, ok := Diff(base, next)
		if !ok {
			return
		}
		data, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		result, err := ApplyAll(base, [][]byte{data}, Sum(next.Encode()))
		if err != nil {
			t.Fatal(err)
		}
		if string(result.Encode()) != string(next.Encode()) {
			t.Fatalf("the delta results in %s, want %s", result.Encode(), next.Encode())
		}
	})
}

func TestDeltaOnAnotherBaseIsRejected(t *testing.T) {
	base := &config.Config{Version: 1, Organisations: []config.Organisation{{Name: "a"}}}
	next := &config.Config{Version: 2, Organisations: []config.Organisation{{Name: "a", Share: 2}}}
	d, ok := Diff(base, next)
	if !ok {
		t.Fatal("no delta")
	}
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	other := &config.Config{Version: 1, Organisations: []config.Organisation{{Name: "b"}}}
	if _, err := ApplyAll(other, [][]byte{data}, Sum(next.Encode())); !errors.Is(err, ErrBaseMismatch) {
		t.Errorf("another version 1: %v", err)
	}
	if _, err := ApplyAll(&config.Config{}, [][]byte{data}, Sum(next.Encode())); !errors.Is(err, ErrBaseMismatch) {
		t.Errorf("version 0: %v", err)
	}
}

func TestHolderReturnsDeltasSinceAVersion(t *testing.T) {
	h := NewHolder()
	for v := int64(1); v <= 5; v++ {
		h.SetIfNewer(&config.Config{Version: v, Organisations: []config.Organisation{{Name: "a", Share: float64(v)}}})
	}
	update := h.UpdateSince(3)
	if len(update.Deltas) != 2 || update.Document != nil {
		t.Errorf("since 3: %d deltas, %d bytes of document", len(update.Deltas), len(update.Document))
	}
	if update := h.UpdateSince(0); update.Document == nil {
		t.Error("since 0: no document")
	}
}

// TestDeltaCoversTheDocument guards against a list that was added to the document
// but not to Delta. Each update would then fall back to the whole document.
func TestDeltaCoversTheDocument(t *testing.T) {
	delta, document := reflect.TypeFor[Delta](), reflect.TypeFor[config.Config]()
	for i := range document.NumField() {
		if name := document.Field(i).Name; document.Field(i).IsExported() {
			if _, ok := delta.FieldByName(name); !ok {
				t.Errorf("Delta lacks %s", name)
			}
		}
	}
}
