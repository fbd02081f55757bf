package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func TestLinesCarryProgramInstanceAndPart(t *testing.T) {
	var out bytes.Buffer
	log := New(Settings{Level: "info", Format: "json"}, &out, "sf-entry", "inst-1")
	Part(log, "lease").Info("lease: taken", "epoch", 3)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	want := map[string]any{"level": "INFO", "msg": "lease: taken", "program": "sf-entry", "instance": "inst-1", "part": "lease", "epoch": 3.0}
	for key, value := range want {
		if line[key] != value {
			t.Errorf("%s is %v, want %v", key, line[key], value)
		}
	}
}

func TestLevelFiltersLines(t *testing.T) {
	for level, want := range map[string]int{"debug": 4, "info": 3, "warn": 2, "error": 1} {
		var out bytes.Buffer
		log := New(Settings{Level: level, Format: "text"}, &out, "sf-entry", "inst-1")
		log.Debug("d")
		log.Info("i")
		log.Warn("w")
		log.Error("e")
		if got := strings.Count(out.String(), "\n"); got != want {
			t.Errorf("level %s: %d lines, want %d:\n%s", level, got, want, out.String())
		}
	}
}

func TestErrorIsLoggedOnOneLineWithoutStack(t *testing.T) {
	var out bytes.Buffer
	New(Settings{Level: "info", Format: "text"}, &out, "sf-entry", "inst-1").Info("x: failed", "error", errors.New("no answer"))
	if got := out.String(); !strings.Contains(got, `error="no answer"`) || strings.Contains(got, "logging_test.go") {
		t.Errorf("%s", got)
	}
}
