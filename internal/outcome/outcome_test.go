package outcome

import (
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestOutcomeIsTrue applies random events to a request and compares its outcome with a record of what the
// upstreams may have run.
func TestOutcomeIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{Repeatable: rapid.Bool().Draw(t, "repeatable")}
		mayHaveRun, open, sends := 0, false, 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(int(Admit), int(Continue)), 0, 40).Draw(t, "events") {
			event := Event(n)
			next, err := request.Apply(event)
			if err != nil {
				if next != request {
					t.Fatalf("event %d failed and changed the request", event)
				}
				continue
			}
			request = next
			switch event {
			case Send:
				open, sends = true, sends+1
				if mayHaveRun > 0 && !request.Repeatable {
					t.Fatalf("sent again after it may have run")
				}
			case Continue:
				open, sends = true, sends+1
				if mayHaveRun == 0 {
					t.Fatalf("continued without a lost run")
				}
			case Refuse:
				open = false
			case Lose, Finish:
				open = false
				mayHaveRun++
			}
			if request.Outcome() == NotRun && (open || mayHaveRun > 0) {
				t.Fatalf("outcome is not run at stage %d after %d sends", request.Stage(), sends)
			}
			if (request.Outcome() == Answered) != (request.Stage() == Done) {
				t.Fatalf("outcome is answered at stage %d", request.Stage())
			}
		}
	})
}

func TestApplyOrder(t *testing.T) {
	apply := func(events ...Event) (Request, error) {
		var request Request
		for _, event := range events {
			next, err := request.Apply(event)
			if err != nil {
				return request, err
			}
			request = next
		}
		return request, nil
	}
	cases := []struct {
		name   string
		events []Event
		want   Outcome
		err    error
	}{
		{"admitted", []Event{Admit}, NotRun, nil},
		{"claimed", []Event{Admit, Claim}, NotRun, nil},
		{"sent", []Event{Admit, Claim, Send}, Unknown, nil},
		{"refused, sent elsewhere", []Event{Admit, Send, Refuse, Send}, Unknown, nil},
		{"refused", []Event{Admit, Claim, Send, Refuse}, NotRun, nil},
		{"lost", []Event{Admit, Send, Lose}, Unknown, nil},
		{"lost, sent again", []Event{Admit, Send, Lose, Send}, Unknown, ErrSecondRun},
		{"lost, continued elsewhere", []Event{Admit, Send, Lose, Continue, Answer, Finish}, Answered, nil},
		{"lost, no copy elsewhere", []Event{Admit, Send, Lose, Continue, Refuse}, Unknown, nil},
		{"continued without a lost run", []Event{Admit, Continue}, NotRun, ErrOrder},
		{"answered", []Event{Admit, Send, Answer, Finish}, Answered, nil},
		{"refused while answering", []Event{Admit, Send, Answer, Refuse}, Unknown, ErrOrder},
		{"sent before admitted", []Event{Send}, NotRun, ErrOrder},
	}
	for _, c := range cases {
		request, err := apply(c.events...)
		if !errors.Is(err, c.err) || request.Outcome() != c.want {
			t.Errorf("%s: outcome %d and %v, want %d and %v", c.name, request.Outcome(), err, c.want, c.err)
		}
	}
}
