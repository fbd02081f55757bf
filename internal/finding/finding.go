// Package finding represents the errors and warnings in a file that a person
// wrote. Each finding has its position, and all are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error or warning at one position of a file.
type Finding struct {
	// File is the file name as the operator gave it.
	File string `json:"file"`
	// Line and Column count from 1; 0 means the file as a whole.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Key is the dotted path of the setting, such as "engine.0.id".
	Key string `json:"key,omitempty"`
	// Message is one sentence without a full stop.
	Message string `json:"message"`
	// Warning is true if the finding does not make the file invalid.
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

// List is a list of findings. The zero value is empty and ready for use.
type List []Finding

// Sort sorts the findings by position.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Line != l[j].Line {
			return l[i].Line < l[j].Line
		}
		return l[i].Column < l[j].Column
	})
}

// Failed reports whether any finding is an error rather than a warning.
func (l List) Failed() bool {
	for _, f := range l {
		if !f.Warning {
			return true
		}
	}
	return false
}

// Error implements error. It returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it has only warnings or is empty.
func (l List) Err() error {
	if !l.Failed() {
		return nil
	}
	return l
}
