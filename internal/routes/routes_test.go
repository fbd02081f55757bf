package routes

import "testing"

func table() *Table {
	return NewTable(3, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Shares: []Share{{Service: "one", Weight: 1}}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: []Share{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, []Service{{Name: "one"}, {Name: "two"}}, Limits{})
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	long := table().Match("a.example", "/x/y/")
	for draw, want := range map[float64]string{0: "one", 0.89: "one", 0.91: "two", 0.999: "two"} {
		if got := long.Pick(draw); got != want {
			t.Errorf("draw %g: %q, want %q", draw, got, want)
		}
	}
	if got := (&Route{}).Pick(0.5); got != "" {
		t.Errorf("service %q of a route without shares", got)
	}
}
