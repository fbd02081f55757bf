package tomlfile

import (
	"strings"
	"testing"
	"time"
)

// sample has a field of each kind that Decode supports.
type sample struct {
	Name    string        `toml:"name"`
	Count   int           `toml:"count"`
	Share   float64       `toml:"share"`
	On      bool          `toml:"on"`
	Wait    time.Duration `toml:"wait"`
	Maybe   *int          `toml:"maybe"`
	Words   []string      `toml:"words"`
	Item    []item        `toml:"item"`
	Inner   item          `toml:"inner"`
	Ignored string
}

type item struct {
	ID   string `toml:"id"`
	Port int    `toml:"port"`
	Sub  []item `toml:"sub"`
}

func TestDecodeAcceptsEachKind(t *testing.T) {
	var got sample
	file := Decode("f", []byte("name = \"n\"\ncount = 2\nshare = 1\non = true\nwait = \"250ms\"\nmaybe = 0\nwords = [\"a\"]\ninner = { id = \"x\" }\n[[item]]\nid = \"y\"\n"), &got)
	if file.Findings().Failed() {
		t.Fatal(file.Findings())
	}
	if got.Name != "n" || got.Count != 2 || got.Share != 1 || !got.On || got.Wait != 250*time.Millisecond ||
		got.Maybe == nil || got.Words[0] != "a" || got.Item[0].ID != "y" || got.Inner.ID != "x" {
		t.Errorf("%+v", got)
	}
}

// TestFindingsHaveLineAndColumn checks the line and column of findings, also within
// nested arrays of tables, inline tables and arrays.
func TestFindingsHaveLineAndColumn(t *testing.T) {
	text := strings.Join([]string{
		`words = ["a", 2]`,
		`inner = { id = "x", port = "p" }`,
		`  maybe = "m"`,
		`[[item]]`,
		`id = "1"`,
		`[[item]]`,
		`id = 2`,
		`[[item.sub]]`,
		`id = "s"`,
		`[[item.sub]]`,
		`port = 1.5`,
		`other = 1`,
		`[spare]`,
	}, "\n")
	want := []string{
		"f:1:1: words.1: want a string",
		"f:2:21: inner.port: want a whole number",
		"f:3:3: maybe: want a whole number",
		"f:7:1: item.1.id: want a string",
		"f:11:1: item.1.sub.1.port: want a whole number",
		"f:12:1: item.1.sub.1.other: unknown key",
		"f:13:2: spare: unknown key",
	}
	got := Decode("f", []byte(text), &sample{}).Findings().Error()
	if got != strings.Join(want, "\n") {
		t.Errorf("got:\n%s\nwant:\n%s", got, strings.Join(want, "\n"))
	}
}

func TestAddFallsBackToTheEnclosingTable(t *testing.T) {
	file := Decode("f", []byte("\n[[item]]\nid = \"1\"\n"), &sample{})
	file.Add("item.0.port", "must be set")
	file.Add("name", "must be set")
	file.Warn("item.0.id", "looks odd")
	want := "f:1:1: name: must be set\nf:2:3: item.0.port: must be set\nf:3:1: warning: item.0.id: looks odd"
	if got := file.Findings().Error(); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"name = \"n\"", "[[item]]\nid = 1", "inner = { id = { } }", "a.b.c = 1", "[item]\nid=1", "words = [[1],[{a=1}]]", "name = ", "[[item.sub]]\nid=\"x\"", "item = [{id=\"a\"},{id=2}]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file := Decode("f", data, &sample{})
		for _, finding := range file.Findings() {
			if finding.Line < 1 || finding.Column < 1 {
				t.Errorf("a finding without a position: %s", finding)
			}
		}
	})
}
