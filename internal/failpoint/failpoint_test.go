package failpoint

import (
	"syscall"
	"testing"
)

func TestParse(t *testing.T) {
	points := parse("a=stop,b=kill@3,c=dance,d")
	if len(points) != 2 {
		t.Fatalf("%d points, want 2", len(points))
	}
	if p := points["a"]; p.signal != syscall.SIGSTOP || p.hitsLeft != 1 {
		t.Errorf("a: %+v", p)
	}
	if p := points["b"]; p.signal != syscall.SIGKILL || p.hitsLeft != 3 {
		t.Errorf("b: %+v", p)
	}
}
