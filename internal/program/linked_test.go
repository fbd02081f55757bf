package program_test

import (
	"debug/buildinfo"
	"debug/elf"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"sassafrasfield/internal/testfleet"
)

// TestProgramsAreLinkedToTheCLibrary checks that the programs are built with cgo
// as dynamic executables that load the C library.
func TestProgramsAreLinkedToTheCLibrary(t *testing.T) {
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"sf-entry", "sf-control", "sfctl"} {
		path := filepath.Join(bin, name)
		file, err := elf.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		libraries, err := file.ImportedLibraries()
		if err != nil {
			t.Fatal(err)
		}
		isC := func(library string) bool { return strings.HasPrefix(library, "libc.") }
		if !slices.ContainsFunc(libraries, isC) {
			t.Errorf("%s loads %v, which has no C library", name, libraries)
		}
		isInterpreter := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
		if !slices.ContainsFunc(file.Progs, isInterpreter) {
			t.Errorf("%s is a static executable", name)
		}
		info, err := buildinfo.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if setting(info.Settings, "CGO_ENABLED") != "1" {
			t.Errorf("%s was built with CGO_ENABLED=%q", name, setting(info.Settings, "CGO_ENABLED"))
		}
	}
}

func setting(settings []debug.BuildSetting, key string) string {
	for _, s := range settings {
		if s.Key == key {
			return s.Value
		}
	}
	return ""
}
