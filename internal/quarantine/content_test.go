package quarantine

import "testing"

// TestContentIsWhatIsAskedFor: a request that comes again is the same one, and none is
// taken for it that differs in any part.
func TestContentIsWhatIsAskedFor(t *testing.T) {
	of := func(method, host, target, body string) Content { return ContentOf(method, host, target, []byte(body)) }
	first := of("POST", "h", "/a/1", "body")
	if again := of("POST", "h", "/a/1", "body"); again != first {
		t.Errorf("%s and %s for the same request", first, again)
	}
	if parsed, err := ParseContent(first.String()); err != nil || parsed != first {
		t.Errorf("%s is read as %s, %v", first, parsed, err)
	}
	if _, err := ParseContent("no name"); err == nil {
		t.Error("what is no name is read as one")
	}
	for _, other := range []Content{
		of("GET", "h", "/a/1", "body"), of("POST", "i", "/a/1", "body"), of("POST", "h", "/a/2", "body"),
		of("POST", "h", "/a/1", "bodz"), of("POST", "h/a", "/1", "body"), of("POST", "h", "/a/1b", "ody"),
	} {
		if other == first {
			t.Errorf("another request has the name %s too", first)
		}
	}
}
