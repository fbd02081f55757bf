package program_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sassafrasfield/internal/control"
	"sassafrasfield/internal/entry"
	"sassafrasfield/internal/settings"
)

// requiredEntryKeys sets the keys without defaults; the cases add to it.
const requiredEntryKeys = "instance = \"i\"\nzone = \"z\"\nplatform = \"127.0.0.1:1\"\n"

// TestSettingsFindings checks that all findings of an invalid settings file are
// reported together, each with its line and column.
func TestSettingsFindings(t *testing.T) {
	cases := map[string]struct {
		into settings.Checker
		file string
		want []string
	}{
		"nothing wrong": {
			entry.DefaultSettings(), requiredEntryKeys + "listen = \"127.0.0.1:2\"\nlocal = \"127.0.0.1:3\"\n", nil,
		},
		"names and addresses missing": {entry.DefaultSettings(), "", []string{
			"1:1: instance: must be set",
			"1:1: zone: must be set",
			`1:1: listen: want an IP number with a port, not ""`,
			`1:1: local: want an IP number with a port, not ""`,
			`1:1: platform: want an IP number with a port, not ""`,
		}},
		"unknown keys and wrong types together": {
			entry.DefaultSettings(),
			"instance = 7\nzonne = \"z\"\n\n[limits]\n  max_body_bytes = \"4 MiB\"\n  sides = 3\n[engine]\ntimeout = 30\nreport_every = \"soon\"\n[log]\nlevel = true\n",
			[]string{
				"1:1: instance: want a string",
				"1:1: zone: must be set",
				`1:1: listen: want an IP number with a port, not ""`,
				`1:1: local: want an IP number with a port, not ""`,
				`1:1: platform: want an IP number with a port, not ""`,
				"2:1: zonne: unknown key",
				"5:3: limits.max_body_bytes: want a whole number",
				"6:3: limits.sides: unknown key",
				`8:1: engine.timeout: want a duration such as "250ms"`,
				`9:1: engine.report_every: want a duration such as "250ms", not "soon"`,
				"11:1: log.level: want a string",
			},
		},
		"an address used twice and values out of range": {
			entry.DefaultSettings(),
			requiredEntryKeys + "listen = \"127.0.0.1:2\"\nlocal = \"127.0.0.1:2\"\nstale_after = \"1ms\"\n[engine]\nattempts = 0\n[log]\nlevel = \"loud\"\n[trace]\nratio = 2\notlp = \"nowhere\"\n",
			[]string{
				"5:1: local: 127.0.0.1:2 is used by listen too",
				"6:1: stale_after: want 100ms to 10m0s, not 1ms",
				"8:1: engine.attempts: want 1 to 20, not 0",
				`10:1: log.level: want debug, info, warn or error, not "loud"`,
				"12:1: trace.ratio: want 0 to 1, not 2",
				`13:1: trace.otlp: want a URL, not "nowhere"`,
			},
		},
		"addresses that are none": {
			entry.DefaultSettings(),
			"instance = \"i\"\nzone = \"z\"\nplatform = \"table.local:1\"\nlisten = \"127.0.0.1:70000\"\nlocal = \"127.0.0.1\"\n",
			[]string{
				`3:1: platform: want an IP number with a port, not "table.local:1"`,
				`4:1: listen: want a port up to 65535, not "70000"`,
				`5:1: local: want an IP number with a port, not "127.0.0.1"`,
			},
		},
		"a table that is none": {entry.DefaultSettings(), "limits = 5\n" + requiredEntryKeys + "listen = \"127.0.0.1:2\"\nlocal = \"127.0.0.1:3\"\n", []string{"1:1: limits: want a table"}},
		"a syntax fault comes alone": {
			entry.DefaultSettings(), "instance = \"i\"\nzone = \n", []string{"2:"},
		},
		"a renewal that is too rare for the term": {
			control.DefaultSettings(),
			requiredEntryKeys + "listen = \"127.0.0.1:2\"\nentry_local = \"127.0.0.1:3\"\n[lease]\nterm = \"1s\"\nrenew_every = \"900ms\"\ncall_timeout = \"200ms\"\n",
			[]string{"8:1: lease.renew_every: want 1ms to 500ms, not 900ms"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.toml")
			if err := os.WriteFile(path, []byte(c.file), 0o644); err != nil {
				t.Fatal(err)
			}
			var got []string
			if err := settings.Load(path, c.into); err != nil {
				got = strings.Split(err.Error(), "\n")
			}
			compareFindings(t, path, got, c.want)
		})
	}
}

func compareFindings(t *testing.T, path string, got, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d findings, want %d:\n%s", len(got), len(want), strings.Join(got, "\n"))
	}
	for i := range want {
		if !strings.HasPrefix(got[i], path+":"+want[i]) {
			t.Errorf("finding %d is %q, want %q", i, got[i], want[i])
		}
	}
}
