package program_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"sassafrasfield/internal/control"
	"sassafrasfield/internal/entry"
	"sassafrasfield/internal/program"
	"sassafrasfield/internal/settings/annotate"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/tomlfile"
	"sassafrasfield/platform"
)

// update rewrites the examples; `make generate` sets it.
var update = flag.Bool("update", false, "write the examples under configs/ again")

// examples returns the annotated settings file of each program, by program name.
func examples(root string) map[string]annotate.Example {
	common := func(title string, s any, values map[string]string) annotate.Example {
		values["instance"], values["zone"], values["platform"] = `"inst-1"`, `"hall-a"`, `"10.0.0.10:7000"`
		return annotate.Example{Root: root, Title: title, Settings: s, Values: values}
	}
	const title = "Settings with every key. The values are the defaults, but for names and addresses, " +
		"which have none. Durations are strings such as \"250ms\". `make generate` writes this file."
	return map[string]annotate.Example{
		"sf-entry": common("sf-entry: "+title, entry.DefaultSettings(),
			map[string]string{"listen": `"10.0.1.1:8080"`, "local": `"127.0.0.1:8081"`}),
		"sf-control": common("sf-control: "+title, control.DefaultSettings(),
			map[string]string{"listen": `"10.0.1.1:8090"`, "entry_local": `"127.0.0.1:8081"`}),
		"sf-instance": {Root: root, Title: "sf-instance: " + title, Settings: platform.DefaultSettings(), Values: map[string]string{
			"instance": `"inst-1"`, "zone": `"hall-a"`, "listen.front": `"10.0.1.1:8080"`, "listen.ready": `"10.0.1.1:8081"`,
			"listen.control": `"10.0.1.1:8090"`, "store.address": `"10.0.0.10:7000"`,
		}},
	}
}

func TestExamplesNameEveryKey(t *testing.T) {
	root, err := testfleet.Root()
	if err != nil {
		t.Fatal(err)
	}
	for name, example := range examples(root) {
		path := filepath.Join(root, "configs", name+".toml")
		want, err := example.Write()
		if err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if string(data) != want {
			t.Errorf("%s is out of date with the settings struct; run `make generate`", path)
		}
		file := tomlfile.Decode(path, data, example.Settings)
		for _, key := range annotate.Keys(example.Settings) {
			if !file.Has(key) {
				t.Errorf("%s does not set %s", path, key)
			}
		}
	}
}

// TestEachKeyHasAComment checks that each key of each program's example has a comment.
func TestEachKeyHasAComment(t *testing.T) {
	root, err := testfleet.Root()
	if err != nil {
		t.Fatal(err)
	}
	for name, example := range examples(root) {
		text, err := example.Write()
		if err != nil {
			t.Fatal(err)
		}
		for _, uncommented := range regexp.MustCompile(`\n#\n.*`).FindAllString(text, -1) {
			t.Errorf("%s: a key has no comment: %s", name, strings.TrimPrefix(uncommented, "\n#\n"))
		}
	}
}

func TestCheckSettingsFlagOfBuiltPrograms(t *testing.T) {
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	root, err := testfleet.Root()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, example := range examples(root) {
		valid := filepath.Join(root, "configs", name+".toml")
		checkSettings(t, filepath.Join(bin, name), valid, program.ExitOK, valid+": no findings\n")
		data, err := os.ReadFile(valid)
		if err != nil {
			t.Fatal(err)
		}
		invalid := filepath.Join(dir, name+".toml")
		text := strings.Replace(string(data), example.Values[listenKey(name)], `"nowhere"`, 1) + "surprise = 1\n"
		if err := os.WriteFile(invalid, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		checkSettings(t, filepath.Join(bin, name), invalid, program.ExitUsage, "surprise: unknown key\n")
		missing := filepath.Join(dir, "missing.toml")
		checkSettings(t, filepath.Join(bin, name), missing, program.ExitUsage, "no such file")
	}
}

// listenKey returns the key of a program's first listen address.
func listenKey(name string) string {
	if name == "sf-instance" {
		return "listen.front"
	}
	return "listen"
}

func checkSettings(t *testing.T, binary, path string, code int, want string) {
	t.Helper()
	cmd := exec.Command(binary, "--settings", path, "--check-settings")
	output, _ := cmd.CombinedOutput() // the exit code is checked below
	if cmd.ProcessState.ExitCode() != code || !strings.Contains(string(output), want) {
		t.Errorf("%s: exit code %d, want %d with %q:\n%s", path, cmd.ProcessState.ExitCode(), code, want, output)
	}
}
