package peers

import (
	"testing"
	"time"
)

// TestInstanceThatMissedAVersionDoesNotVouch guards against streams that go on at another version at an instance that was
// cut off while their version appeared, and that no longer counts the others as alive: it has read the rows, but not these.
func TestInstanceThatMissedAVersionDoesNotVouch(t *testing.T) {
	f := newVirtualFleet(3, 1, 0, 1)
	f.setVersions("v1")
	f.run(2 * startupTime)
	missed := f.nodes[0]
	missed.frozen = true // it does not read the rows
	f.blocked = func(from, to *virtualNode) bool { return from == missed || to == missed }
	f.setVersions("v1", "v2")
	f.nodes[1].begin("stream", "v2")
	f.run(4 * virtualTick)
	missed.frozen = false
	for n := range 8 {
		if version, ok := f.continuedAt(missed, "stream"); ok && version != "v2" {
			t.Fatalf("goes on at %s after %d pauses", version, n)
		}
		f.run(500 * time.Millisecond)
	}
}
