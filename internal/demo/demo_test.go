package demo

import (
	"bytes"
	"context"
	"testing"
	"time"

	"sassafrasfield/internal/testfleet"
)

// TestDemoSucceeds runs the demo. Each step checks a guarantee to callers or operators.
func TestDemoSucceeds(t *testing.T) {
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	root, err := testfleet.Root()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	d := &Demo{Bin: bin, Root: root, Dir: t.TempDir(), Out: &out}
	if err := d.Run(ctx); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if len(d.results) != 5 {
		t.Fatalf("%d steps ran, want 5", len(d.results))
	}
}
