package intent

import (
	"slices"
	"testing"

	"sassafrasfield/internal/config"
)

const baseIntent = `name = "base"
[[model]]
name = "m"
version = "1"
[[pool]]
name = "p"
model = "m"
[[engine]]
id = "e1"
address = "127.0.0.1:1"
pool = "p"
[[engine]]
id = "e2"
address = "127.0.0.1:2"
pool = "p"
`

func TestAllFindingsAreReported(t *testing.T) {
	base, _, findings := Apply("base.toml", []byte(baseIntent), &config.Config{})
	if base == nil {
		t.Fatal(findings)
	}
	cases := []struct {
		name, file string
		want       []string
	}{
		{"several at once", "nmae = \"x\"\n[[engine]]\nid = \"e 1\"\nrole = \"chef\"\naddress = \"localhost:1\"\n", []string{
			"f.toml:1:1: nmae: unknown key",
			"f.toml:1:1: name: an intent needs a name",
			`f.toml:3:1: engine.0.id: "e 1" is no name: want letters, digits, dot, dash or underscore, 63 at most`,
			`f.toml:4:1: engine.0.role: want mixed, prefill or decode, not "chef"`,
			`f.toml:5:1: engine.0.address: want an IP number with a port, not "localhost:1"`,
		}},
		{"syntax", "name = \n", []string{"f.toml:1:8: toml: unexpected character U+000A at start of value"}},
		{"shapes", "name = \"x\"\n[[engine]]\nid = \"e 1\"\nrole = \"chef\"\naddress = \"localhost:1\"\npool = \"p\"\n", []string{
			`f.toml:3:1: engine.0.id: "e 1" is no name: want letters, digits, dot, dash or underscore, 63 at most`,
			`f.toml:4:1: engine.0.role: want mixed, prefill or decode, not "chef"`,
			`f.toml:5:1: engine.0.address: want an IP number with a port, not "localhost:1"`,
		}},
		{"whole", "name = \"x\"\n[[engine]]\nid = \"e3\"\naddress = \"127.0.0.1:1\"\npool = \"q\"\n", []string{
			`f.toml:4:1: engine.0.address: "e1" and "e3" have the same address 127.0.0.1:1`,
			`f.toml:5:1: engine.0.pool: engine "e3" has no pool "q"`,
		}},
		{"removal", "name = \"x\"\n[[engine]]\nid = \"e9\"\nremove = true\n[[model]]\nname = \"m\"\nweight_bytes = -1\n", []string{
			`f.toml:2:3: engine.0: nothing named "e9" to remove`,
			`f.toml:7:1: model.0.weight_bytes: want 0 or more, not -1`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, findings := Apply("f.toml", []byte(c.file), base)
			var got []string
			for _, f := range findings {
				got = append(got, f.String())
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got  %q\nwant %q", got, c.want)
			}
		})
	}
}

// TestOtherEnginesKeepWantedState applies an intent for one engine, after a cancelled plan has left another
// one at an older version than that of its model.
func TestOtherEnginesKeepWantedState(t *testing.T) {
	base, _, _ := Apply("base.toml", []byte(baseIntent), &config.Config{})
	base.Models[0].Version = "2"
	target, _, findings := Apply("f.toml", []byte("name = \"x\"\n[[engine]]\nid = \"e1\"\nleave = true\n"), base)
	if target == nil {
		t.Fatal(findings)
	}
	for _, e := range target.Engines {
		if e.Want.Version != "1" {
			t.Errorf("%s wants version %s, which no intent requested", e.ID, e.Want.Version)
		}
	}
	if target, _, _ = Apply("f.toml", []byte("name = \"x\"\n[[model]]\nname = \"m\"\nversion = \"2\"\n"), base); target.Engine("e1").Want.Version != "2" {
		t.Error("an intent for the model does not change its engines")
	}
}
