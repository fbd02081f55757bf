package scenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"sassafrasfield/internal/testfleet"
)

// TestScenarios runs the scripts under testdata, each with a fleet of its own.
func TestScenarios(t *testing.T) {
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, Params("testdata", bin))
}
