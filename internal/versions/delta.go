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

// packAbove is the size in bytes above which a value is compressed.
const packAbove = 512

// maxDocumentBytes bounds what a packed value may expand to.
const maxDocumentBytes = 256 << 20

// gzipMagic is the first byte of compressed data; JSON never begins with it.
const gzipMagic = 0x1f

// KindDelta is what changed among the objects of one kind.
type KindDelta[T any] struct {
	// Set replaces the object with the same name, or adds it at the end.
	Set []T `json:"set,omitempty"`
	// Remove names the objects that are gone.
	Remove []string `json:"remove,omitempty"`
}

// Delta leads from one version of the document to the next.
type Delta struct {
	Intent        int64                     `json:"intent"`
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

// Diff returns what leads from one document to another.
func Diff(from, to *config.Config) Delta {
	return Delta{
		Intent:        to.Intent,
		Models:        diffPart(from.Models, to.Models, modelName),
		Pools:         diffPart(from.Pools, to.Pools, poolName),
		Engines:       diffPart(from.Engines, to.Engines, engineID),
		Services:      diffPart(from.Services, to.Services, serviceName),
		Organisations: diffPart(from.Organisations, to.Organisations, organisationName),
	}
}

func diffPart[T any](from, to []T, name func(T) string) KindDelta[T] {
	var part KindDelta[T]
	old := map[string]*T{}
	for i := range from {
		old[name(from[i])] = &from[i]
	}
	for i := range to {
		before, ok := old[name(to[i])]
		if !ok || !reflect.DeepEqual(*before, to[i]) {
			part.Set = append(part.Set, to[i])
		}
		delete(old, name(to[i]))
	}
	for i := range from {
		if _, gone := old[name(from[i])]; gone {
			part.Remove = append(part.Remove, name(from[i]))
		}
	}
	return part
}

// Apply returns the document that follows base. Base is left as it is.
func (d Delta) Apply(base *config.Config) *config.Config {
	return &config.Config{
		Version:       base.Version + 1,
		Intent:        d.Intent,
		Models:        applyPart(base.Models, d.Models, modelName),
		Pools:         applyPart(base.Pools, d.Pools, poolName),
		Engines:       applyPart(base.Engines, d.Engines, engineID),
		Services:      applyPart(base.Services, d.Services, serviceName),
		Organisations: applyPart(base.Organisations, d.Organisations, organisationName),
	}
}

func applyPart[T any](base []T, part KindDelta[T], name func(T) string) []T {
	if len(part.Set) == 0 && len(part.Remove) == 0 {
		return base
	}
	result := slices.DeleteFunc(slices.Clone(base), func(item T) bool {
		return slices.Contains(part.Remove, name(item))
	})
	at := make(map[string]int, len(result))
	for i := range result {
		at[name(result[i])] = i
	}
	for _, item := range part.Set {
		if i, ok := at[name(item)]; ok {
			result[i] = item
			continue
		}
		result = append(result, item)
	}
	return result
}

// pack marshals a value, and compresses it when it is large.
func pack(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "versions: encode")) // plain data always marshals
	}
	if len(data) <= packAbove {
		return data
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, _ = w.Write(data) // a buffer takes all
	_ = w.Close()
	return packed.Bytes()
}

// unpack reads what pack wrote.
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
