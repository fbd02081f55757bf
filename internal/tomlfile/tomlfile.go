// Package tomlfile decodes a TOML file into a struct strictly. Unlike a plain
// decoder it continues after the first error: unknown keys, wrong types and the
// findings of the caller's own checks are reported together, each with its line
// and column.
package tomlfile

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/finding"
)

// tagName is the struct tag that holds the key of a field.
const tagName = "toml"

// File is a decoded file with the positions of its keys and its findings.
type File struct {
	name      string
	positions map[string]position
	findings  finding.List
	parsed    bool
}

// Decode parses data and fills into, which must be a pointer to a struct
// whose fields carry toml tags. Fields of type time.Duration take strings
// such as "250ms". File.Findings returns the findings; a file with a syntax
// error has only that finding.
func Decode(name string, data []byte, into any) *File {
	f := &File{name: name, positions: map[string]position{}}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		f.addSyntaxError(err)
		return f
	}
	f.parsed = true
	f.positions = indexPositions(data)
	f.decodeStruct("", tree, reflect.ValueOf(into).Elem())
	return f
}

// Parsed reports whether the file is valid TOML. If so, its values can be
// checked even if there are findings.
func (f *File) Parsed() bool { return f.parsed }

// Add records a finding at the position of the key, or of the nearest enclosing
// table if the file does not have the key. Only the first finding of a key is
// kept, so that a value of the wrong type is not also reported as out of range.
func (f *File) Add(key, format string, args ...any) {
	f.add(key, false, format, args...)
}

// Warn records a warning: a finding that does not make the file invalid.
func (f *File) Warn(key, format string, args ...any) {
	f.add(key, true, format, args...)
}

// Findings returns the findings so far, sorted by position.
func (f *File) Findings() finding.List {
	f.findings.Sort()
	return f.findings
}

// Has reports whether the file sets the key.
func (f *File) Has(key string) bool {
	_, ok := f.positions[key]
	return ok
}

func (f *File) add(key string, warning bool, format string, args ...any) {
	if !warning && f.hasError(key) {
		return
	}
	at := f.positionOf(key)
	f.findings = append(f.findings, finding.Finding{
		File: f.name, Line: at.line, Column: at.column,
		Key: key, Message: fmt.Sprintf(format, args...), Warning: warning,
	})
}

func (f *File) hasError(key string) bool {
	return slices.ContainsFunc(f.findings, func(g finding.Finding) bool { return g.Key == key && !g.Warning })
}

func (f *File) positionOf(key string) position {
	for key != "" {
		if at, ok := f.positions[key]; ok {
			return at
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return position{line: 1, column: 1}
}

func (f *File) addSyntaxError(err error) {
	var decode *toml.DecodeError
	line, column := 1, 1
	if errors.As(err, &decode) {
		line, column = decode.Position()
	}
	f.findings = append(f.findings, finding.Finding{
		File: f.name, Line: line, Column: column, Message: err.Error(),
	})
}

func (f *File) decodeStruct(path string, tree map[string]any, into reflect.Value) {
	known := map[string]reflect.Value{}
	for i := 0; i < into.NumField(); i++ {
		if key := into.Type().Field(i).Tag.Get(tagName); key != "" {
			known[key] = into.Field(i)
		}
	}
	for key, value := range tree {
		field, ok := known[key]
		if !ok {
			f.Add(join(path, key), "unknown key")
			continue
		}
		f.decodeValue(join(path, key), value, field)
	}
}

func (f *File) decodeValue(path string, value any, into reflect.Value) {
	if into.Type() == reflect.TypeFor[time.Duration]() {
		f.decodeDuration(path, value, into)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		f.decodeValue(path, value, into.Elem())
	case reflect.Struct:
		if tree, ok := value.(map[string]any); ok {
			f.decodeStruct(path, tree, into)
			return
		}
		f.Add(path, "want a table")
	case reflect.Slice:
		f.decodeSlice(path, value, into)
	default:
		f.decodeScalar(path, value, into)
	}
}

func (f *File) decodeSlice(path string, value any, into reflect.Value) {
	items, ok := value.([]any)
	if !ok {
		f.Add(path, "want an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(items), len(items)))
	for i, item := range items {
		f.decodeValue(fmt.Sprintf("%s.%d", path, i), item, into.Index(i))
	}
}

func (f *File) decodeScalar(path string, value any, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		if s, ok := value.(string); ok {
			into.SetString(s)
			return
		}
		f.Add(path, "want a string")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			into.SetBool(b)
			return
		}
		f.Add(path, "want true or false")
	case reflect.Int, reflect.Int64:
		if n, ok := value.(int64); ok {
			into.SetInt(n)
			return
		}
		f.Add(path, "want a whole number")
	case reflect.Float64:
		f.decodeFloat(path, value, into)
	default:
		f.Add(path, "unsupported type %s", into.Type())
	}
}

func (f *File) decodeFloat(path string, value any, into reflect.Value) {
	switch n := value.(type) {
	case float64:
		into.SetFloat(n)
	case int64:
		into.SetFloat(float64(n))
	default:
		f.Add(path, "want a number")
	}
}

func (f *File) decodeDuration(path string, value any, into reflect.Value) {
	s, ok := value.(string)
	if !ok {
		f.Add(path, `want a duration such as "250ms"`)
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		f.Add(path, `want a duration such as "250ms", not %q`, s)
		return
	}
	into.SetInt(int64(d))
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
