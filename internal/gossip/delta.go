package gossip

import (
	"encoding/json"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// ErrBaseMismatch: a delta is for another version than the one held, or its result is
// not the version that it names. The whole document has to be sent.
var ErrBaseMismatch = errors.New("spread: the delta does not fit the version held")

// Delta is what changed from one version to another.
type Delta struct {
	Base    int64 `json:"base"`
	Version int64 `json:"version"`
	Intent  int64 `json:"intent"`

	Models        objects[config.Model]        `json:"models,omitzero"`
	Pools         objects[config.Pool]         `json:"pools,omitzero"`
	Engines       objects[config.Engine]       `json:"engines,omitzero"`
	Services      objects[config.Service]      `json:"services,omitzero"`
	Organisations objects[config.Organisation] `json:"organisations,omitzero"`
}

// objects are the changes to one list of the document.
type objects[T any] struct {
	// Set replaces objects with the same name, and adds others at the end.
	Set     []T      `json:"set,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// IsZero tells whether nothing changed.
func (o objects[T]) IsZero() bool { return len(o.Set) == 0 && len(o.Removed) == 0 }

// Names of the objects in their lists.
func modelName(m *config.Model) string               { return m.Name }
func poolName(p *config.Pool) string                 { return p.Name }
func engineID(e *config.Engine) string               { return e.ID }
func serviceName(s *config.Service) string           { return s.Name }
func organisationName(o *config.Organisation) string { return o.Name }

// Diff returns what changed, or false when a delta can't express it.
func Diff(base, next *config.Config) (Delta, bool) {
	d := Delta{
		Base: base.Version, Version: next.Version, Intent: next.Intent,
		Models:        diff(base.Models, next.Models, modelName),
		Pools:         diff(base.Pools, next.Pools, poolName),
		Engines:       diff(base.Engines, next.Engines, engineID),
		Services:      diff(base.Services, next.Services, serviceName),
		Organisations: diff(base.Organisations, next.Organisations, organisationName),
	}
	made, err := d.Apply(base)
	return d, err == nil && sameOrder(made, next)
}

// sameOrder tells whether the lists of two documents have the same names in the
// same order. The objects that a delta makes are equal otherwise.
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

func diff[T any](base, next []T, name func(*T) string) objects[T] {
	var out objects[T]
	before := map[string]*T{}
	for i := range base {
		before[name(&base[i])] = &base[i]
	}
	for i := range next {
		id := name(&next[i])
		old, ok := before[id]
		if !ok || !reflect.DeepEqual(*old, next[i]) {
			out.Set = append(out.Set, next[i])
		}
		delete(before, id)
	}
	for i := range base {
		if id := name(&base[i]); before[id] != nil {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// Apply returns the version that the delta makes of its base. The result
// shares objects with the base.
func (d Delta) Apply(base *config.Config) (*config.Config, error) {
	if base.Version != d.Base {
		return nil, ErrBaseMismatch
	}
	next := *base
	next.Version, next.Intent = d.Version, d.Intent
	next.Models = apply(base.Models, d.Models, modelName)
	next.Pools = apply(base.Pools, d.Pools, poolName)
	next.Engines = apply(base.Engines, d.Engines, engineID)
	next.Services = apply(base.Services, d.Services, serviceName)
	next.Organisations = apply(base.Organisations, d.Organisations, organisationName)
	return &next, nil
}

func apply[T any](base []T, changes objects[T], name func(*T) string) []T {
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

// Sum is a checksum of an encoded document.
func Sum(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// ApplyAll applies encoded deltas in order, and checks the result's sum. Its
// error is ErrBase when the whole document is needed.
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
