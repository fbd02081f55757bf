package apikey

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// key is the only key in the table of the tests.
const key = "m82thhkmgjqnirth5mgj"

func table() *Table[string] {
	t := NewTable[string]()
	t.Add(HashOf(key), "mill")
	return t
}

// TestReadAcceptsUnambiguousForms checks that the case of the scheme and additional spaces before the key are
// accepted, and that ambiguous fields are not.
func TestReadAcceptsUnambiguousForms(t *testing.T) {
	for name, c := range map[string]struct {
		fields []string
		owner  string
	}{
		"as usual":            {[]string{"Bearer " + key}, "mill"},
		"lower case":          {[]string{"bearer " + key}, "mill"},
		"upper case":          {[]string{"BEARER " + key}, "mill"},
		"spaces":              {[]string{"  Bearer   " + key + " \t"}, "mill"},
		"none":                {nil, ""},
		"empty":               {[]string{""}, ""},
		"scheme alone":        {[]string{"Bearer"}, ""},
		"scheme and a space":  {[]string{"Bearer "}, ""},
		"key alone":           {[]string{key}, ""},
		"another scheme":      {[]string{"Basic " + key}, ""},
		"unknown":             {[]string{"Bearer another"}, ""},
		"another case":        {[]string{"Bearer " + strings.ToUpper(key)}, ""},
		"more behind it":      {[]string{"Bearer " + key + " x"}, ""},
		"two that agree":      {[]string{"Bearer " + key, "Bearer " + key}, ""},
		"two that do not":     {[]string{"Bearer " + key, "Bearer x"}, ""},
		"two in one":          {[]string{"Bearer " + key + ", Bearer x"}, ""},
		"long":                {[]string{"Bearer " + strings.Repeat("k", 8<<10)}, ""},
		"the hash of the key": {[]string{fmt.Sprintf("Bearer %x", HashOf(key))}, ""},
		"a part of the key":   {[]string{"Bearer " + key[1:]}, ""},
	} {
		owner, ok := table().Owner(Read(http.Header{Header: c.fields}))
		if owner != c.owner || ok != (c.owner != "") {
			t.Errorf("%s: owner %q, known %t, want %q", name, owner, ok, c.owner)
		}
	}
}

func TestFormattedValuesDoNotRevealKeys(t *testing.T) {
	c := Read(http.Header{Header: {"Bearer " + key}})
	for _, text := range []string{fmt.Sprintf("%v", c), fmt.Sprintf("%+v", c), fmt.Sprintf("%#v", c), fmt.Sprintf("%+v", table())} {
		if strings.Contains(text, key) {
			t.Errorf("%q", text)
		}
	}
}

func TestKeyStaysWithFirstOwner(t *testing.T) {
	keys := table()
	if owner := keys.Add(HashOf(key), "another"); owner != "mill" {
		t.Errorf("it is assigned to %q", owner)
	}
	if owner, _ := keys.Owner(Read(http.Header{Header: {"Bearer " + key}})); owner != "mill" {
		t.Errorf("owner %q", owner)
	}
}

func TestParseHash(t *testing.T) {
	h := HashOf(key)
	if got, err := ParseHash(hex.EncodeToString(h[:])); err != nil || got != h {
		t.Errorf("%x, %v", got, err)
	}
	for _, text := range []string{"", "12", strings.Repeat("x", 64), strings.Repeat("1", 66)} {
		if _, err := ParseHash(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// TestLookupDoesNotAllocate guards the cost of a lookup, which is done for each request and again before each
// send.
func TestLookupDoesNotAllocate(t *testing.T) {
	keys, c := table(), Read(http.Header{Header: {"Bearer " + key}})
	if n := testing.AllocsPerRun(100, func() { keys.Owner(c) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// FuzzRead checks that no field causes a panic, and that only the key itself has an owner.
func FuzzRead(f *testing.F) {
	for _, field := range []string{"Bearer " + key, "bearer  x", "", " \t ", "Bearer \x00", "Basic a:b"} {
		f.Add(field)
	}
	f.Fuzz(func(t *testing.T, field string) {
		_, known := table().Owner(Read(http.Header{Header: {field}}))
		if known && !strings.HasSuffix(strings.TrimRight(field, " \t"), key) {
			t.Errorf("%q has an owner", field)
		}
	})
}
