package gossip

import (
	"encoding/json"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// ErrBaseMismatch reports that a delta was made for another version than the one
// held, or that the result of the deltas has another checksum than expected. The
// whole document must be sent.
var ErrBaseMismatch = errors.New("spread: delta does not apply to the version held")

// Delta is the difference between two versions of the configuration.
type Delta struct {
	Base    int64 `json:"base"`
	Version int64 `json:"version"`
	Intent  int64 `json:"intent"`

	Models        listChanges[config.Model]        `json:"models,omitzero"`
	Pools         listChanges[config.Pool]         `json:"pools,omitzero"`
	Engines       listChanges[config.Engine]       `json:"engines,omitzero"`
	Services      listChanges[config.Service]      `json:"services,omitzero"`
	Organisations listChanges[config.Organisation] `json:"organisations,omitzero"`
}

// listChanges are the changes to one list of the document.
type listChanges[T any] struct {
	// Set replaces the objects with the same names, and appends the others.
	Set     []T      `json:"set,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// IsZero reports whether nothing changed.
func (c listChanges[T]) IsZero() bool { return len(c.Set) == 0 && len(c.Removed) == 0 }

// The following functions return the name of an object, which is unique in its
// list.
func modelName(m *config.Model) string               { return m.Name }
func poolName(p *config.Pool) string                 { return p.Name }
func engineID(e *config.Engine) string               { return e.ID }
func serviceName(s *config.Service) string           { return s.Name }
func organisationName(o *config.Organisation) string { return o.Name }

// Diff returns the delta from base to next. It returns false if a delta can't
// express the difference, for example a new order of a list.
func Diff(base, next *config.Config) (Delta, bool) {
	d := Delta{
		Base: base.Version, Version: next.Version, Intent: next.Intent,
		Models:        diffList(base.Models, next.Models, modelName),
		Pools:         diffList(base.Pools, next.Pools, poolName),
		Engines:       diffList(base.Engines, next.Engines, engineID),
		Services:      diffList(base.Services, next.Services, serviceName),
		Organisations: diffList(base.Organisations, next.Organisations, organisationName),
	}
	result, err := d.Apply(base)
	return d, err == nil && sameOrder(result, next)
}

// sameOrder reports whether the lists of two documents have the same names in the
// same order. Diff need not compare the objects themselves: a delta contains each
// object that differs.
func sameOrder(a, b *config.Config) bool {
	return sameNames(a.Models, b.Models, modelName) &&
		sameNames(a.Pools, b.Pools, poolName) &&
		sameNames(a.Engines, b.Engines, engineID) &&
		sameNames(a.Services, b.Services, serviceName) &&
		sameNames(a.Organisations, b.Organisations, organisationName)
}

func sameNames[T any](a, b []T, name func(*T) string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if name(&a[i]) != name(&b[i]) {
			return false
		}
	}
	return true
}

func diffList[T any](base, next []T, name func(*T) string) listChanges[T] {
	var changes listChanges[T]
	remaining := map[string]*T{}
	for i := range base {
		remaining[name(&base[i])] = &base[i]
	}
	for i := range next {
		id := name(&next[i])
		old, ok := remaining[id]
		if !ok || !reflect.DeepEqual(*old, next[i]) {
			changes.Set = append(changes.Set, next[i])
		}
		delete(remaining, id)
	}
	for i := range base {
		if id := name(&base[i]); remaining[id] != nil {
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes
}

// Apply applies the delta to its base and returns the resulting version. The
// result shares objects with the base.
func (d Delta) Apply(base *config.Config) (*config.Config, error) {
	if base.Version != d.Base {
		return nil, ErrBaseMismatch
	}
	next := *base
	next.Version, next.Intent = d.Version, d.Intent
	next.Models = applyList(base.Models, d.Models, modelName)
	next.Pools = applyList(base.Pools, d.Pools, poolName)
	next.Engines = applyList(base.Engines, d.Engines, engineID)
	next.Services = applyList(base.Services, d.Services, serviceName)
	next.Organisations = applyList(base.Organisations, d.Organisations, organisationName)
	return &next, nil
}

func applyList[T any](base []T, changes listChanges[T], name func(*T) string) []T {
	if changes.IsZero() {
		return base
	}
	removed := map[string]bool{}
	for _, id := range changes.Removed {
		removed[id] = true
	}
	set := map[string]*T{}
	for i := range changes.Set {
		set[name(&changes.Set[i])] = &changes.Set[i]
	}
	var out []T
	for i := range base {
		id := name(&base[i])
		if replacement, ok := set[id]; ok {
			out = append(out, *replacement)
			delete(set, id)
		} else if !removed[id] {
			out = append(out, base[i])
		}
	}
	for i := range changes.Set {
		if set[name(&changes.Set[i])] != nil {
			out = append(out, changes.Set[i])
		}
	}
	return out
}

// Sum returns the checksum of an encoded document.
func Sum(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// ApplyAll applies encoded deltas in order and verifies the checksum of the
// result. Deltas to versions that base already includes are skipped. The error is
// ErrBaseMismatch if the whole document is needed.
func ApplyAll(base *config.Config, deltas [][]byte, sum uint64) (*config.Config, error) {
	doc := base
	for _, data := range deltas {
		var d Delta
		if err := json.Unmarshal(data, &d); err != nil {
			return nil, errors.Wrap(err, "spread: delta")
		}
		if d.Version <= doc.Version {
			continue
		}
		next, err := d.Apply(doc)
		if err != nil {
			return nil, err
		}
		doc = next
	}
	if Sum(doc.Encode()) != sum {
		return nil, ErrBaseMismatch
	}
	return doc, nil
}
