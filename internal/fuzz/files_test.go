package fuzz

import (
	"os"
	"path/filepath"
	"testing"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/control"
	"sassafrasfield/internal/entry"
	"sassafrasfield/internal/finding"
	"sassafrasfield/internal/intent"
	"sassafrasfield/internal/plan"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/tomlfile"
)

// addFiles adds the files that match a pattern, relative to the root of the repository, as seeds.
func addFiles(f *testing.F, pattern string) {
	f.Helper()
	root, err := testfleet.Root()
	if err != nil {
		f.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(root, pattern))
	if err != nil || len(paths) == 0 {
		f.Fatalf("no seeds under %s: %v", pattern, err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// checkPositions checks that each finding has a position in the file.
func checkPositions(t *testing.T, findings finding.List) {
	t.Helper()
	for _, found := range findings {
		if found.Line < 1 || found.Column < 1 {
			t.Errorf("finding without a position: %s", found)
		}
	}
}

// FuzzSettings parses and checks settings files of both daemons.
func FuzzSettings(f *testing.F) {
	addFiles(f, "configs/*.toml")
	f.Add([]byte("[lease]\nterm = \"1h\"\n[limits]\nmax_body_bytes = -1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, into := range []settings.Checker{entry.DefaultSettings(), control.DefaultSettings()} {
			file := tomlfile.Decode("f", data, into)
			if file.Parsed() {
				into.Check(file)
			}
			checkPositions(t, file.Findings())
		}
	})
}

// FuzzIntent parses an intent, applies it and builds its plan. The resulting
// configuration must be equal after it is encoded and decoded.
func FuzzIntent(f *testing.F) {
	addFiles(f, "examples/*/*.toml*")
	f.Add([]byte("name = \"n\"\n[[engine]]\nid = \"e\"\nremove = true\n"))
	f.Add([]byte("name = \"n\"\n[[model]]\nname = \"m\"\nversion = \"1\"\n[[pool]]\nname = \"p\"\nmodel = \"m\"\n[[engine]]\nid = \"e\"\naddress = \"127.0.0.1:1\"\npool = \"p\"\n"))
	f.Add([]byte("name = \"n\"\n[[service]]\nname = \"s\"\nprefix = \"/s\"\nnon_idempotent = [\"POST\"]\n[[service.upstream]]\nid = \"u\"\n"))
	base := &config.Config{
		Version: 3, Intent: 1,
		Models: []config.Model{{Name: "m", Version: "1"}}, Pools: []config.Pool{{Name: "p", Model: "m", MinServing: 1}},
		Engines: []config.Engine{{ID: "e", Address: "127.0.0.1:1", Pool: "p", Routing: config.RoutingServing}},
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, findings := intent.Parse("f", data)
		checkPositions(t, findings)
		target, _, findings := intent.Apply("f", data, base)
		checkPositions(t, findings)
		if target == nil {
			return
		}
		plan.Build(base, target, plan.Costs{ChangeSeconds: 5, LoadSeconds: 1})
		again, err := config.Decode(target.Encode())
		if err != nil || string(again.Encode()) != string(target.Encode()) {
			t.Errorf("the configuration differs after encoding and decoding: %v", err)
		}
	})
}
