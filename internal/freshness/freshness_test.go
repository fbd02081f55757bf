package freshness

import (
	"strings"
	"testing"
	"time"
)

const second = time.Second

var settings = Settings{FreshFor: 5 * second, AcceptWithin: 4 * second, ReadLag: second / 2}

// voter returns one of three daemons. It holds version 1 and read the head at the given time.
func voter(read time.Duration) *State {
	s := New("a", settings, 0)
	s.SetMembers([]string{"c", "a", "b"})
	s.SetHeld(1)
	s.HeadRead(read, 1)
	return s
}

// answers returns the answer of a voter that has no read of the head to report.
func answers(promised int64) Digest {
	return Digest{Version: 1, Voter: true, Promised: promised}
}

func TestTableEvidenceExpires(t *testing.T) {
	s := voter(10 * second)
	if status := s.Status(14 * second); !status.Fresh || status.Rule != "table" || status.Until != 14*second+second/2 {
		t.Errorf("before expiry: %+v", status)
	}
	if status := s.Status(15 * second); status.Fresh || !strings.Contains(status.Reason, "0 of 3") && !strings.Contains(status.Reason, "1 of 3") {
		t.Errorf("after expiry: %+v", status)
	}
}

func TestStaleHeadIsNoEvidence(t *testing.T) {
	s := voter(10 * second)
	s.SetHeld(2)
	s.HeadRead(20*second, 1)
	if s.Status(21 * second).Fresh {
		t.Error("a head below the held version counted")
	}
	s.HeadRead(20*second, 2)
	if !s.Status(21 * second).Fresh {
		t.Error("a head at the held version did not count")
	}
}

func TestNewerHeadCountsOnceHeld(t *testing.T) {
	s := voter(10 * second)
	s.HeadRead(20*second, 2)
	if s.Status(21 * second).Fresh {
		t.Error("version 1 is fresh although the head had version 2")
	}
	s.SetHeld(2)
	if !s.Status(21 * second).Fresh {
		t.Error("version 2 is not fresh")
	}
}

func TestMajorityIsValidUntilMemberKnowsOfNewerVersion(t *testing.T) {
	s := voter(10 * second)
	s.MergeAnswer(20*second, 20*second, "b", answers(0))
	if status := s.Status(24 * second); !status.Fresh || status.Rule != "majority" {
		t.Errorf("two of three: %+v", status)
	}
	s.MergeAnswer(21*second, 21*second, "b", answers(2))
	if s.Status(22 * second).Fresh {
		t.Error("fresh although version 2 may have been accepted")
	}
	s.MergeAnswer(21*second, 21*second, "c", answers(0))
	if status := s.Status(22 * second); !status.Fresh || status.Rule != "all" {
		t.Errorf("all three answer, and none holds version 2: %+v", status)
	}
}

func TestOnlyLaterReadSettlesPrepare(t *testing.T) {
	s := voter(10 * second)
	s.Prepare(20*second, 2)
	s.HeadRead(21*second, 1) // the write may still take effect
	s.MergeAnswer(30*second, 30*second, "b", answers(0))
	if s.Status(31 * second).Fresh {
		t.Error("a read right after the Prepare settled it")
	}
	s.HeadRead(25*second, 1)
	s.MergeAnswer(35*second, 35*second, "b", answers(0))
	if !s.Status(36 * second).Fresh {
		t.Error("a read after accept_within did not settle it")
	}
}

func TestRestartedPeerIsNotVoter(t *testing.T) {
	restarted := New("b", settings, 8*second)
	restarted.SetHeld(1)
	restarted.HeadRead(10*second, 1)
	if restarted.Digest(10*second, false).Voter {
		t.Error("voter, although it may not know of a Prepare whose write can still take effect")
	}
	restarted.HeadRead(13*second, 1)
	if !restarted.Digest(13*second, false).Voter {
		t.Error("not a voter after a read that is late enough")
	}
}
