package quarantine

import "testing"

// TestContentIdentifiesARequest checks that a repeated request has the same content, and that a request that
// differs in any part has different content.
func TestContentIdentifiesARequest(t *testing.T) {
	of := func(method, host, target, body string) Subject { return ContentOf(method, host, target, []byte(body)) }
	first := of("POST", "h", "/a/1", "body")
	if again := of("POST", "h", "/a/1", "body"); again != first {
		t.Errorf("%s and %s for the same request", first, again)
	}
	if parsed, err := ParseSubject(first.String()); err != nil || parsed != first {
		t.Errorf("%s is parsed as %s, %v", first, parsed, err)
	}
	if _, err := ParseSubject("no name"); err == nil {
		t.Error("invalid text is parsed as a content")
	}
	for _, other := range []Subject{
		of("GET", "h", "/a/1", "body"), of("POST", "i", "/a/1", "body"), of("POST", "h", "/a/2", "body"),
		of("POST", "h", "/a/1", "bodz"), of("POST", "h/a", "/1", "body"), of("POST", "h", "/a/1b", "ody"),
	} {
		if other == first {
			t.Errorf("another request has the content %s too", first)
		}
	}
}
