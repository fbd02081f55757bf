// Package annotate generates an annotated example of a settings file from the
// settings struct: each key with the field's doc comment and its default. It
// generates the examples under configs/, so they stay in step with the code.
package annotate

import (
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// modulePath is the import path prefix of the packages of this repository.
const modulePath = "sassafrasfield/"

// tagName is the struct tag that holds the key of a field.
const tagName = "toml"

// lineWidth is the column at which comment lines are wrapped.
const lineWidth = 78

// Example describes one example file.
type Example struct {
	// Root is the root folder of the repository, whose sources contain the comments.
	Root string
	// Title is the comment at the top of the file.
	Title string
	// Settings is a pointer to a settings struct that holds the defaults.
	Settings any
	// Values holds, by key, the TOML values shown for keys that have no default.
	Values map[string]string
}

// Write returns the text of the example.
func (e Example) Write() (string, error) {
	w := &writer{example: e, docs: map[string]map[string]string{}}
	w.comment(e.Title)
	if err := w.table("", reflect.ValueOf(e.Settings).Elem()); err != nil {
		return "", err
	}
	return w.text.String(), nil
}

// Keys returns the dotted key of each scalar field of a settings struct.
func Keys(settings any) []string {
	return keys("", reflect.TypeOf(settings).Elem())
}

func keys(prefix string, t reflect.Type) []string {
	var all []string
	for i := range t.NumField() {
		field := t.Field(i)
		key := field.Tag.Get(tagName)
		if key == "" {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			all = append(all, keys(prefix+key+".", field.Type)...)
			continue
		}
		all = append(all, prefix+key)
	}
	return all
}

type writer struct {
	example Example
	text    strings.Builder
	// docs caches the field comments of each struct type, by type and field name.
	docs map[string]map[string]string
}

// table writes the scalar fields of a struct, followed by its tables.
func (w *writer) table(prefix string, value reflect.Value) error {
	docs, err := w.fieldDocs(value.Type())
	if err != nil {
		return err
	}
	var tables []int
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Tag.Get(tagName) == "" {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			tables = append(tables, i)
			continue
		}
		w.text.WriteString("\n")
		w.comment(docs[field.Name])
		fmt.Fprintf(&w.text, "%s = %s\n", field.Tag.Get(tagName), w.value(prefix+field.Tag.Get(tagName), value.Field(i)))
	}
	for _, i := range tables {
		key := prefix + value.Type().Field(i).Tag.Get(tagName)
		fmt.Fprintf(&w.text, "\n[%s]\n", key)
		if err := w.table(key+".", value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// value returns the example's value of the key if it has one, and the formatted
// default otherwise.
func (w *writer) value(key string, value reflect.Value) string {
	if shown, ok := w.example.Values[key]; ok {
		return shown
	}
	if d, ok := value.Interface().(time.Duration); ok {
		return fmt.Sprintf("%q", shortDuration(d))
	}
	switch value.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", value.String())
	case reflect.Slice:
		items := make([]string, value.Len())
		for i := range items {
			items[i] = w.value("", value.Index(i))
		}
		return "[" + strings.Join(items, ", ") + "]"
	case reflect.Float64:
		return fmt.Sprintf("%#g", value.Float())
	default:
		return fmt.Sprint(value.Interface())
	}
}

// shortDuration formats a duration without trailing zero units: "10m", not "10m0s".
func shortDuration(d time.Duration) string {
	text := d.String()
	if minutes, ok := strings.CutSuffix(text, "m0s"); ok {
		text = minutes + "m"
	}
	if hours, ok := strings.CutSuffix(text, "h0m"); ok {
		text = hours + "h"
	}
	return text
}

// comment writes a text as wrapped comment lines.
func (w *writer) comment(text string) {
	line := "#"
	for _, word := range strings.Fields(text) {
		if len(line)+1+len(word) > lineWidth {
			fmt.Fprintln(&w.text, line)
			line = "#"
		}
		line += " " + word
	}
	fmt.Fprintln(&w.text, line)
}

// fieldDocs returns the comments of a struct's fields, by field name.
func (w *writer) fieldDocs(t reflect.Type) (map[string]string, error) {
	name := t.PkgPath() + "." + t.Name()
	if docs, ok := w.docs[name]; ok {
		return docs, nil
	}
	path, ok := strings.CutPrefix(t.PkgPath(), modulePath)
	if !ok {
		return nil, errors.Errorf("annotate: %s is not a type of this repository", name)
	}
	docs, err := readDocs(filepath.Join(w.example.Root, path), t.Name())
	w.docs[name] = docs
	return docs, err
}
