package takeover

import (
	"testing"

	"pgregory.net/rapid"

	"sassafrasfield/internal/streamversions"
)

// first and second are attempts at a stream, of which the second takes it up.
var (
	first  = Claim{Stream: 1, Attempt: 1, Scope: 7}
	second = Claim{Stream: 1, Attempt: 2, Scope: 7, Epoch: 1, LastEvent: 3}
)

// third returns a claim of a third attempt with an epoch and a last event.
func third(epoch uint32, lastEvent int) Claim {
	return Claim{Stream: 1, Attempt: 3, Scope: 7, Epoch: epoch, LastEvent: lastEvent}
}

// TestClaimSupersedesTheAttemptsOfItsStream guards against a run that goes on after its stream was taken up, and against one that ends
// although the claim is not one to its stream.
func TestClaimSupersedesTheAttemptsOfItsStream(t *testing.T) {
	for name, c := range map[string]struct {
		holder Holder[string]
		claim  Claim
		want   Result
	}{
		"the attempt that began it":           {holder: Holder[string]{Claim: first}, claim: second, want: Result{Superseded: 1}},
		"an attempt that took it up":          {holder: Holder[string]{Claim: second}, claim: third(1, 5), want: Result{Superseded: 1}},
		"one that is named as the stream":     {holder: Holder[string]{Claim: second}, claim: Claim{Stream: 2, Attempt: 3, Scope: 7, Epoch: 1, LastEvent: 5}, want: Result{Superseded: 1}},
		"one with the claim's id":             {holder: Holder[string]{Claim: first}, claim: Claim{Stream: 1, Attempt: 1, Scope: 7, Epoch: 1, LastEvent: 3}, want: Result{Superseded: 1}},
		"the claim's own, served for another": {holder: Holder[string]{Claim: second, Forwarded: true}, claim: second},
		"another one, served for another":     {holder: Holder[string]{Claim: first, Forwarded: true}, claim: second, want: Result{Superseded: 1}},
		"of another organisation or content":  {holder: Holder[string]{Claim: Claim{Stream: 1, Attempt: 1, Scope: 8}}, claim: second},
		"of another stream":                   {holder: Holder[string]{Claim: Claim{Stream: 9, Attempt: 9, Scope: 7}}, claim: second},
		"one that waits, fewer events":        {holder: Holder[string]{Claim: second, Pending: true}, claim: third(1, 5), want: Result{Superseded: 1}},
		"one that waits, more events":         {holder: Holder[string]{Claim: third(1, 5), Pending: true}, claim: second, want: Result{Outranked: true}},
		"one that waits, higher id":           {holder: Holder[string]{Claim: third(1, 3), Pending: true}, claim: second, want: Result{Outranked: true}},
		"one that runs, more events":          {holder: Holder[string]{Claim: third(4, 5)}, claim: second, want: Result{RunningEpoch: 4}},
		"one that runs, lower epoch":          {holder: Holder[string]{Claim: third(1, 5)}, claim: Claim{Stream: 1, Attempt: 2, Scope: 7, Epoch: 2}, want: Result{Superseded: 1}},
	} {
		r := NewRegistry[string]()
		r.Add(&c.holder)
		if _, got := r.Contest(c.claim, nil); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
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
	if superseded, result := r.Contest(second, own); len(superseded) > 0 || result != (Result{}) {
		t.Errorf("%+v", result)
	}
}

// modelAttempt is an attempt at one stream that an instance of the model serves.
type modelAttempt struct {
	*Holder[int]
	instance int
	// answered are the instances that have answered its claim of the current epoch.
	answered map[int]bool
	ended    bool
}

// modelMessage is a claim under way to an instance.
type modelMessage struct {
	attempt *modelAttempt
	claim   Claim
	to      int
}

// model has the attempts at one stream, and the claims under way.
type model struct {
	t         *rapid.T
	instances []*Registry[int]
	attempts  []*modelAttempt
	messages  []modelMessage
}

// begin begins an attempt: the first one runs, the others claim the stream.
func (m *model) begin(instance int) {
	n := len(m.attempts)
	c := Claim{Stream: 1, Attempt: streamversions.ID(1 + n), Scope: 7}
	if n > 0 {
		c.Epoch, c.LastEvent = 1, rapid.IntRange(0, 3).Draw(m.t, "last event")
	}
	a := &modelAttempt{Holder: &Holder[int]{Claim: c, Pending: n > 0, Value: n}, instance: instance}
	m.attempts = append(m.attempts, a)
	m.instances[instance].Add(a.Holder)
	if n > 0 {
		m.claim(a)
	}
}

// claim sends an attempt's claim to all instances.
func (m *model) claim(a *modelAttempt) {
	a.answered = map[int]bool{}
	for to := range m.instances {
		m.messages = append(m.messages, modelMessage{a, a.Claim, to})
	}
}

func (m *model) end(a *modelAttempt) {
	if !a.ended {
		a.ended = true
		m.instances[a.instance].Remove(a.Holder)
	}
}

// deliver has a claim reach its instance, also if its attempt has ended meanwhile, and the answer reach the attempt.
func (m *model) deliver(i int, again bool) {
	message := m.messages[i]
	if !again {
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	}
	a := message.attempt
	var own *Holder[int]
	if message.to == a.instance {
		own = a.Holder
	}
	superseded, result := m.instances[message.to].Contest(message.claim, own)
	for _, h := range superseded {
		m.end(m.attempts[h.Value])
	}
	switch {
	case a.ended || !a.Pending || message.claim != a.Claim:
	case result.Outranked:
		m.end(a)
	case result.RunningEpoch > 0:
		a.Epoch = result.RunningEpoch + 1
		m.claim(a)
	default:
		a.answered[message.to] = true
		a.Pending = len(a.answered) < len(m.instances)
	}
}

func (m *model) running() (n int) {
	for _, a := range m.attempts {
		if !a.ended && !a.Pending {
			n++
		}
	}
	return n
}

// TestOneAttemptOfAStreamRuns guards against two attempts of a stream that run at the same time, whatever the order in which their
// claims reach the instances, late and repeated ones included, and against attempts that all give way to one another.
func TestOneAttemptOfAStreamRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t}
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			m.instances = append(m.instances, NewRegistry[int]())
		}
		m.begin(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(m.messages) == 0 || rapid.IntRange(0, 7).Draw(t, "step") == 0 && len(m.attempts) < 8 {
				m.begin(rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance"))
				continue
			}
			m.deliver(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"), rapid.IntRange(0, 3).Draw(t, "again") == 0)
			if n := m.running(); n > 1 {
				t.Fatalf("%d attempts run", n)
			}
		}
		for len(m.messages) > 0 {
			m.deliver(0, false)
		}
		if n := m.running(); n != 1 {
			t.Fatalf("%d attempts run in the end", n)
		}
	})
}
