package takeover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sassafrasfield/internal/streamversions"
)

// first and second are attempts at a stream, of which the second takes it up.
var (
	first  = Claim{Stream: 1, Attempt: 1, Scope: 7}
	second = Claim{Stream: 1, Attempt: 2, Scope: 7, LastEvent: 3}
)

// TestClaimSupersedesTheAttemptsOfItsStream guards against a run that goes on after its stream was taken up, and against one that ends
// although the claim is not one to its stream.
func TestClaimSupersedesTheAttemptsOfItsStream(t *testing.T) {
	third := Claim{Stream: 2, Attempt: 3, Scope: 7, LastEvent: 5}
	for name, c := range map[string]struct {
		holder     Holder[string]
		claim      Claim
		superseded bool
		outranked  bool
	}{
		"the attempt that began it":                 {holder: Holder[string]{Claim: first}, claim: second, superseded: true},
		"an attempt that took it up":                {holder: Holder[string]{Claim: second}, claim: Claim{Stream: 1, Attempt: 3, Scope: 7, LastEvent: 5}, superseded: true},
		"one that is named as the stream":           {holder: Holder[string]{Claim: second}, claim: third, superseded: true},
		"one with the claim's id":                   {holder: Holder[string]{Claim: first}, claim: Claim{Stream: 1, Attempt: 1, Scope: 7, LastEvent: 3}, superseded: true},
		"the claim's own, served for another":       {holder: Holder[string]{Claim: second, Forwarded: true}, claim: second},
		"another one, served for another":           {holder: Holder[string]{Claim: first, Forwarded: true}, claim: second, superseded: true},
		"of another organisation or content":        {holder: Holder[string]{Claim: Claim{Stream: 1, Attempt: 1, Scope: 8}}, claim: second},
		"of another stream":                         {holder: Holder[string]{Claim: Claim{Stream: 9, Attempt: 9, Scope: 7}}, claim: second},
		"one that waits, with fewer events":         {holder: Holder[string]{Claim: second, Pending: true}, claim: Claim{Stream: 1, Attempt: 3, Scope: 7, LastEvent: 5}, superseded: true},
		"one that waits, with more events":          {holder: Holder[string]{Claim: Claim{Stream: 1, Attempt: 3, Scope: 7, LastEvent: 5}, Pending: true}, claim: second, outranked: true},
		"one that runs, with more events":           {holder: Holder[string]{Claim: Claim{Stream: 1, Attempt: 3, Scope: 7, LastEvent: 5}}, claim: second, superseded: true},
		"one that waits, as many events, higher id": {holder: Holder[string]{Claim: Claim{Stream: 1, Attempt: 3, Scope: 7, LastEvent: 3}, Pending: true}, claim: second, outranked: true},
	} {
		r := NewRegistry[string]()
		r.Add(&c.holder)
		superseded, outranked := r.Contest(c.claim, nil)
		if got := len(superseded) == 1; got != c.superseded || outranked != c.outranked {
			t.Errorf("%s: superseded %t, outranked %t", name, got, outranked)
		}
		r.Remove(&c.holder)
		if r.Len() != 0 {
			t.Errorf("%s: %d ids are left", name, r.Len())
		}
	}
}

// TestAnAttemptDoesNotSupersedeItself guards against a claim that ends its own attempt.
func TestAnAttemptDoesNotSupersedeItself(t *testing.T) {
	r := NewRegistry[string]()
	own := &Holder[string]{Claim: second, Pending: true}
	r.Add(own)
	if superseded, outranked := r.Contest(second, own); len(superseded) > 0 || outranked {
		t.Errorf("%d superseded, outranked %t", len(superseded), outranked)
	}
}

// modelAttempt is an attempt at one stream that an instance of the model serves.
type modelAttempt struct {
	*Holder[int]
	// answered are the instances that have answered its claim.
	answered map[int]bool
	ended    bool
}

// TestOneAttemptOfAStreamRuns guards against two attempts of a stream that run at the same time, whatever the order in which their
// claims reach the instances, and against attempts that all give way to one another.
func TestOneAttemptOfAStreamRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := make([]*Registry[int], rapid.IntRange(1, 4).Draw(t, "instances"))
		for i := range instances {
			instances[i] = NewRegistry[int]()
		}
		var attempts []*modelAttempt
		at := map[*modelAttempt]int{}
		end := func(a *modelAttempt) {
			a.ended = true
			instances[at[a]].Remove(a.Holder)
		}
		running := func() (list []*modelAttempt) {
			for _, a := range attempts {
				if !a.ended && !a.Pending {
					list = append(list, a)
				}
			}
			return list
		}
		begin := func(instance int) {
			n := len(attempts)
			c := Claim{Stream: 1, Attempt: streamversions.ID(1 + n), Scope: 7}
			if n > 0 {
				c.LastEvent = rapid.IntRange(0, 3).Draw(t, "last event")
			}
			a := &modelAttempt{Holder: &Holder[int]{Claim: c, Pending: n > 0, Value: n}, answered: map[int]bool{}}
			attempts, at[a] = append(attempts, a), instance
			instances[instance].Add(a.Holder)
		}
		// claim has an attempt's claim reach an instance, which ends what it supersedes before it answers.
		claim := func(a *modelAttempt, instance int) {
			superseded, outranked := instances[instance].Contest(a.Claim, a.Holder)
			if outranked {
				end(a)
				return
			}
			for _, h := range superseded {
				end(attempts[h.Value])
			}
			a.answered[instance] = true
			if len(a.answered) == len(instances) {
				a.Pending = false
			}
		}
		begin(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				begin(rapid.IntRange(0, len(instances)-1).Draw(t, "instance"))
				continue
			}
			a := attempts[rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")]
			if a.ended || !a.Pending {
				continue
			}
			claim(a, rapid.IntRange(0, len(instances)-1).Draw(t, "claimed at"))
			if list := running(); len(list) > 1 {
				t.Fatalf("%d attempts run", len(list))
			}
		}
		for _, a := range attempts { // all claims arrive in the end
			for instance := range instances {
				if !a.ended && a.Pending {
					claim(a, instance)
				}
			}
		}
		if list := running(); len(list) != 1 {
			t.Fatalf("%d attempts run in the end: %s", len(list), fmt.Sprint(attempts))
		}
	})
}
