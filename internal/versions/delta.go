package versions

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// compressAbove is the size in bytes above which a value is compressed.
const compressAbove = 512

// maxDocumentBytes bounds the size of an unpacked value.
const maxDocumentBytes = 256 << 20

// gzipMagic is the first byte of compressed data; JSON never begins with it.
const gzipMagic = 0x1f

// KindDelta holds the changes to the objects of one kind.
type KindDelta[T any] struct {
	// Set are changed and new objects. Each replaces the object with the same name, or is added at the end.
	Set []T `json:"set,omitempty"`
	// Remove are the names of the removed objects.
	Remove []string `json:"remove,omitempty"`
}

// Delta holds the changes from one version of the document to the next.
type Delta struct {
	Intent        int64                          `json:"intent"`
	Models        KindDelta[config.Model]        `json:"models,omitzero"`
	Pools         KindDelta[config.Pool]         `json:"pools,omitzero"`
	Engines       KindDelta[config.Engine]       `json:"engines,omitzero"`
	Services      KindDelta[config.Service]      `json:"services,omitzero"`
	Organisations KindDelta[config.Organisation] `json:"organisations,omitzero"`
}

func modelName(m config.Model) string               { return m.Name }
func poolName(p config.Pool) string                 { return p.Name }
func engineID(e config.Engine) string               { return e.ID }
func serviceName(s config.Service) string           { return s.Name }
func organisationName(o config.Organisation) string { return o.Name }

// Diff returns the changes from one document to another.
func Diff(from, to *config.Config) Delta {
	return Delta{
		Intent:        to.Intent,
		Models:        diffKind(from.Models, to.Models, modelName),
		Pools:         diffKind(from.Pools, to.Pools, poolName),
		Engines:       diffKind(from.Engines, to.Engines, engineID),
		Services:      diffKind(from.Services, to.Services, serviceName),
		Organisations: diffKind(from.Organisations, to.Organisations, organisationName),
	}
}

func diffKind[T any](from, to []T, name func(T) string) KindDelta[T] {
	var delta KindDelta[T]
	old := map[string]*T{}
	for i := range from {
		old[name(from[i])] = &from[i]
	}
	for i := range to {
		before, ok := old[name(to[i])]
		if !ok || !reflect.DeepEqual(*before, to[i]) {
			delta.Set = append(delta.Set, to[i])
		}
		delete(old, name(to[i]))
	}
	for i := range from {
		if _, removed := old[name(from[i])]; removed {
			delta.Remove = append(delta.Remove, name(from[i]))
		}
	}
	return delta
}

// Apply returns the document of the version after base. It does not modify base.
func (d Delta) Apply(base *config.Config) *config.Config {
	return &config.Config{
		Version:       base.Version + 1,
		Intent:        d.Intent,
		Models:        applyKind(base.Models, d.Models, modelName),
		Pools:         applyKind(base.Pools, d.Pools, poolName),
		Engines:       applyKind(base.Engines, d.Engines, engineID),
		Services:      applyKind(base.Services, d.Services, serviceName),
		Organisations: applyKind(base.Organisations, d.Organisations, organisationName),
	}
}

func applyKind[T any](base []T, delta KindDelta[T], name func(T) string) []T {
	if len(delta.Set) == 0 && len(delta.Remove) == 0 {
		return base
	}
	result := slices.DeleteFunc(slices.Clone(base), func(item T) bool {
		return slices.Contains(delta.Remove, name(item))
	})
	index := make(map[string]int, len(result))
	for i := range result {
		index[name(result[i])] = i
	}
	for _, item := range delta.Set {
		if i, ok := index[name(item)]; ok {
			result[i] = item
			continue
		}
		result = append(result, item)
	}
	return result
}

// pack marshals a value, and compresses it if it is large.
func pack(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "versions: encode")) // the types stored here always marshal
	}
	if len(data) <= compressAbove {
		return data
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, _ = w.Write(data) // writes to a buffer never fail
	_ = w.Close()
	return packed.Bytes()
}

// unpack decodes data that pack encoded.
func unpack(data []byte, into any) error {
	if len(data) > 0 && data[0] == gzipMagic {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return errors.Wrap(err, "versions: unpack")
		}
		if data, err = io.ReadAll(io.LimitReader(r, maxDocumentBytes)); err != nil {
			return errors.Wrap(err, "versions: unpack")
		}
	}
	return errors.Wrap(json.Unmarshal(data, into), "versions: unpack")
}
