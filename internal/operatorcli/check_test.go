package operatorcli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sassafrasfield/internal/operatorcli"
	"sassafrasfield/internal/program"
)

func TestCheckReportsAllFindings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "intent.toml")
	cases := []struct {
		file     string
		code     int
		findings int
	}{
		{"name = \"x\"\n", program.ExitOK, 0},
		{"nmae = \"x\"\n[[engine]]\nid = \"a b\"\n", program.ExitRefused, 3},
		{"name = \n", program.ExitRefused, 1},
	}
	for _, c := range cases {
		if err := os.WriteFile(path, []byte(c.file), 0o644); err != nil {
			t.Fatal(err)
		}
		var out, errOut bytes.Buffer
		cli := operatorcli.CLI{Out: &out, Err: &errOut}
		code := cli.Run([]string{"check", path})
		if code != c.code || strings.Count(errOut.String(), path+":") != c.findings {
			t.Errorf("%q: code %d, printed %s", c.file, code, errOut.String())
		}
	}
	cli := operatorcli.CLI{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}
	if code := cli.Run([]string{"confirm"}); code != program.ExitUsage {
		t.Errorf("a missing argument: code %d", code)
	}
}
