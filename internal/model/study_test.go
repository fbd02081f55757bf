package model

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/settings"
)

func TestExampleStudyRuns(t *testing.T) {
	study := &Study{}
	if err := settings.Load("../../examples/model/splits.toml", study); err != nil {
		t.Fatal(err)
	}
	study.Seeds, study.Policy, study.Pattern[0].Length = study.Seeds[:1], study.Policy[:2], time.Second
	results := study.Run()
	var table bytes.Buffer
	if err := WriteTable(&table, results); err != nil {
		t.Fatal(err)
	}
	if rows := strings.Count(table.String(), "\n"); rows != 5 { // a header, and two classes under two policies
		t.Errorf("%d rows:\n%s", rows, table.String())
	}
	if err := Plot(filepath.Join(t.TempDir(), "credit.svg"), results); err != nil {
		t.Error(err)
	}
}

func TestStudyReportsAllMissingParts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "study.toml")
	writeFile(t, path, "[[pattern]]\nname = \"p\"\n")
	err := settings.Load(path, &Study{})
	if err == nil {
		t.Fatal("no finding")
	}
	for _, want := range []string{"seeds", "policy", "length", "fleet"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not reported in %v", want, err)
		}
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
