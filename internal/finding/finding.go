// Package finding collects what is wrong in a file that a person wrote, each
// with its place, so that all of it is reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one thing wrong, or worth a warning, at one place of a file.
type Finding struct {
	// File is the name as the operator gave it.
	File string `json:"file"`
	// Line and Column count from 1; 0 means the file as a whole.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Key is the dotted path of the setting, such as "engine.0.id".
	Key string `json:"key,omitempty"`
	// Message is one sentence without a full stop.
	Message string `json:"message"`
	// Warning is true when the finding does not forbid the file.
	Warning bool `json:"warning,omitempty"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	level := ""
	if f.Warning {
		level = "warning: "
	}
	key := ""
	if f.Key != "" {
		key = f.Key + ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s%s", f.File, f.Line, f.Column, level, key, f.Message)
}

// List is a set of findings. The zero value is empty and ready for use.
type List []Finding

// Sort orders the findings by place.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Line != l[j].Line {
			return l[i].Line < l[j].Line
		}
		return l[i].Column < l[j].Column
	})
}

// Failed tells whether any finding is more than a warning.
func (l List) Failed() bool {
	for _, f := range l {
		if !f.Warning {
			return true
		}
	}
	return false
}

// Error joins the findings, one a line, so that a List serves as an error.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when nothing in it forbids the
// file.
func (l List) Err() error {
	if !l.Failed() {
		return nil
	}
	return l
}
