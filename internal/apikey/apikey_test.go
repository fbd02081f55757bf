package apikey

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// key is the one that the tests' table knows.
const key = "m82thhkmgjqnirth5mgj"

func table() *Table[string] {
	t := NewTable[string]()
	t.Add(HashOf(key), "mill")
	return t
}

// TestEachFormThatHTTPAllows: whoever writes the scheme in another case, or more spaces
// before the key, has given the key; whatever can be read in two ways has not.
func TestEachFormThatHTTPAllows(t *testing.T) {
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

func TestNoPrintShowsAKey(t *testing.T) {
	c := Read(http.Header{Header: {"Bearer " + key}})
	for _, text := range []string{fmt.Sprintf("%v", c), fmt.Sprintf("%+v", c), fmt.Sprintf("%#v", c), fmt.Sprintf("%+v", table())} {
		if strings.Contains(text, key) {
			t.Errorf("%q", text)
		}
	}
}

func TestAKeyStaysWithItsFirstOwner(t *testing.T) {
	keys := table()
	if owner := keys.Add(HashOf(key), "another"); owner != "mill" {
		t.Errorf("it is given to %q", owner)
	}
	if owner, _ := keys.Owner(Read(http.Header{Header: {"Bearer " + key}})); owner != "mill" {
		t.Errorf("owner %q", owner)
	}
}

func TestAHashIsReadAsItIsWritten(t *testing.T) {
	h := HashOf(key)
	if got, err := ParseHash(hex.EncodeToString(h[:])); err != nil || got != h {
		t.Errorf("%x, %v", got, err)
	}
	for _, text := range []string{"", "12", strings.Repeat("x", 64), strings.Repeat("1", 66)} {
		if _, err := ParseHash(text); err == nil {
			t.Errorf("%q is taken", text)
		}
	}
}

// TestALookupAllocatesNothing: it is done for each request, and again before each send.
func TestALookupAllocatesNothing(t *testing.T) {
	keys, c := table(), Read(http.Header{Header: {"Bearer " + key}})
	if n := testing.AllocsPerRun(100, func() { keys.Owner(c) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// FuzzRead: no field makes it fail, and only the key itself is known.
func FuzzRead(f *testing.F) {
	for _, field := range []string{"Bearer " + key, "bearer  x", "", " \t ", "Bearer \x00", "Basic a:b"} {
		f.Add(field)
	}
	f.Fuzz(func(t *testing.T, field string) {
		_, known := table().Owner(Read(http.Header{Header: {field}}))
		if known && !strings.HasSuffix(strings.TrimRight(field, " \t"), key) {
			t.Errorf("%q is known", field)
		}
	})
}
