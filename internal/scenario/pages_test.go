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

// signature returns a command of sfctl with its flags, without arguments and global flags.
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

// readAll returns the joined contents of the files that match a pattern relative to the root.
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

// TestEachDocumentedCommandIsScripted requires that each sfctl command on the operators' pages is run with
// the same flags by one of the scripts.
func TestEachDocumentedCommandIsScripted(t *testing.T) {
	run := map[string]bool{}
	scripted := regexp.MustCompile(`(?m)^!? *(?:sfctl|exits \d|until '[^']*'(?:\S*'[^']*')*) (.*)$`)
	for _, match := range scripted.FindAllStringSubmatch(readAll(t, "internal/scenario/testdata/*.txtar"), -1) {
		run[signature(strings.Fields(match[1]))] = true
	}
	run["declare"] = true // the command "declare" of the scripts
	documented := 0
	for _, match := range regexp.MustCompile(`(?m)^(?: {4,}|\$ |\t)sfctl (.*)$`).FindAllStringSubmatch(readAll(t, "docs/operate/*.md"), -1) {
		documented++
		if s := signature(strings.Fields(match[1])); !run[s] {
			t.Errorf("no script runs %q of the operators' pages: sfctl %s", s, match[1])
		}
	}
	if documented < 5 {
		t.Errorf("%d commands found on the pages", documented)
	}
}

// TestMetricsAndLogLinesAreExplained requires that each metric and log line of the daemons is on the page
// docs/operate/metrics-and-logs.md.
func TestMetricsAndLogLinesAreExplained(t *testing.T) {
	page := readAll(t, "docs/operate/metrics-and-logs.md")
	metric := regexp.MustCompile(`GetOrRegister\w+\("([^"]+)"`)
	line := regexp.MustCompile(`\.(?:Info|Warn|Error|Debug)\("([a-z]+: [^"]+)"`)
	found := 0
	packages := []string{"entry", "control", "idempotency", "program", "relay", "rowsync", "peers", "httpserver", "instance", "rolekeeper", "usagereport", "scaling"}
	for _, pkg := range append(packages, "../platform") {
		text := readAll(t, "internal/"+pkg+"/*.go")
		for _, pattern := range []*regexp.Regexp{metric, line} {
			for _, match := range pattern.FindAllStringSubmatch(text, -1) {
				found++
				if !strings.Contains(page, "`"+match[1]+"`") {
					t.Errorf("internal/%s: %q is not explained in docs/operate/metrics-and-logs.md", pkg, match[1])
				}
			}
		}
	}
	if found < 50 {
		t.Errorf("%d metrics and log lines found", found)
	}
}
