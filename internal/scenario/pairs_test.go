package scenario

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"sassafrasfield/internal/testfleet"
)

// Parameters of the run over pairs of faults. CI uses the defaults; `make prove` sets a longer run.
var (
	pairsSeed   = flag.Uint64("pairs.seed", 4, "seed of the run over pairs of faults")
	pairsRounds = flag.Int("pairs.rounds", 3, "rounds of the run over pairs of faults")
)

// TestPairsOfFaults runs pairs of faults under load and compares the records of the callers with those of the
// engines and services.
func TestPairsOfFaults(t *testing.T) {
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(*pairsRounds)*time.Minute+time.Minute)
	defer cancel()
	run := Pairs{Bin: bin, Dir: t.TempDir(), Seed: *pairsSeed, Rounds: *pairsRounds, Out: os.Stderr}
	result, err := run.Run(ctx)
	if err != nil {
		t.Fatalf("seed %d: %v", *pairsSeed, err)
	}
	t.Logf("seed %d: %d of %d chats complete (%d answered cannot_resume), %d of %d calls answered, %d changes accepted",
		*pairsSeed, result.Complete, result.Chats, result.VersionRemoved, result.Answered, result.Calls, result.Accepted)
	for _, violation := range result.Violations {
		t.Errorf("seed %d: %s", *pairsSeed, violation)
	}
}

func TestPairsAreDeterminedBySeed(t *testing.T) {
	first, again, other := drawPairs(7, 50, 3), drawPairs(7, 50, 3), drawPairs(8, 50, 3)
	same := true
	for n := range first {
		if first[n] != again[n] {
			t.Fatalf("round %d differs: %v, %v", n, first[n], again[n])
		}
		if first[n].first.kind == first[n].second.kind {
			t.Errorf("round %d has the same kind twice", n)
		}
		same = same && first[n] == other[n]
	}
	if same {
		t.Error("two seeds draw the same pairs")
	}
}
