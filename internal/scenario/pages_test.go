package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"sassafrasfield/internal/testfleet"
)

// globalFlags may stand before any command.
var globalFlags = []string{"--control", "--output", "--operator", "--timeout", "-o"}

// signature is a command of sfctl with its flags, without arguments.
func signature(words []string) string {
	var kept []string
	for n := 0; n < len(words); n++ {
		word, _, _ := strings.Cut(words[n], "=")
		switch {
		case slices.Contains(globalFlags, word):
			if !strings.Contains(words[n], "=") {
				n++
			}
		case strings.HasPrefix(word, "-"), len(kept) == 0:
			kept = append(kept, word)
		}
	}
	if len(kept) > 0 {
		slices.Sort(kept[1:])
	}
	return strings.Join(kept, " ")
}

// readAll joins the files that a pattern names.
func readAll(t *testing.T, pattern string) string {
	t.Helper()
	root, err := testfleet.Root()
	if err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(root, pattern))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no file matches %s: %v", pattern, err)
	}
	var all strings.Builder
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(data)
		all.WriteString("\n")
	}
	return all.String()
}

// TestEachDocumentedCommandIsScripted wants each sfctl command of the operators'
// pages, with its flags, in one of the scripts.
func TestEachDocumentedCommandIsScripted(t *testing.T) {
	run := map[string]bool{}
	scripted := regexp.MustCompile(`(?m)^!? *(?:sfctl|exits \d|until '[^']*'(?:\S*'[^']*')*) (.*)$`)
	for _, match := range scripted.FindAllStringSubmatch(readAll(t, "internal/scenario/testdata/*.txtar"), -1) {
		run[signature(strings.Fields(match[1]))] = true
	}
	run["declare"] = true // the command "declare" of the scripts
	told := 0
	for _, match := range regexp.MustCompile(`(?m)^(?: {4,}|\$ |\t)sfctl (.*)$`).FindAllStringSubmatch(readAll(t, "docs/operate/*.md"), -1) {
		told++
		if s := signature(strings.Fields(match[1])); !run[s] {
			t.Errorf("no script runs %q of the operators' pages: sfctl %s", s, match[1])
		}
	}
	if told < 5 {
		t.Errorf("%d commands found on the pages", told)
	}
}

// TestMetricsAndLogLinesAreExplained wants each metric and log line of the
// daemons on their page.
func TestMetricsAndLogLinesAreExplained(t *testing.T) {
	page := readAll(t, "docs/operate/metrics-and-logs.md")
	metric := regexp.MustCompile(`GetOrRegister\w+\("([^"]+)"`)
	line := regexp.MustCompile(`\.(?:Info|Warn|Error|Debug)\("([a-z]+: [^"]+)"`)
	found := 0
	slices := []string{"entry", "control", "idempotency", "program", "relay", "rowsync", "peers", "httpserver", "instance", "rolekeeper", "usagereport", "scaling"}
	for _, slice := range append(slices, "../platform") {
		text := readAll(t, "internal/"+slice+"/*.go")
		for _, pattern := range []*regexp.Regexp{metric, line} {
			for _, match := range pattern.FindAllStringSubmatch(text, -1) {
				found++
				if !strings.Contains(page, "`"+match[1]+"`") {
					t.Errorf("internal/%s: %q is not explained in docs/operate/metrics-and-logs.md", slice, match[1])
				}
			}
		}
	}
	if found < 50 {
		t.Errorf("%d metrics and log lines found", found)
	}
}
