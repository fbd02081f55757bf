package relocation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// overdueInput is a short prompt at an engine that does not process it, while others process theirs as predicted.
func overdueInput() Input {
	return Input{
		Since: 400 * ms, Predicted: 60 * ms, Objective: 200 * ms, Deadline: 4 * time.Second, Other: 60 * ms, HasOther: true,
		Delays: NewDelays().Elsewhere("e", 60*ms, 0), Movable: true, Affordable: true,
	}
}

// TestDecide guards against prompts that move, stay or are refused for the wrong reason.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(in *Input)
		want   Action
	}{
		"a move still meets the objective":     {func(*Input) {}, Move},
		"not overdue":                          {func(in *Input) { in.Since = 100 * ms }, Wait},
		"the budget is exhausted":              {func(in *Input) { in.Affordable = false }, Wait},
		"no further send is allowed":           {func(in *Input) { in.Movable = false }, Wait},
		"no other engine":                      {func(in *Input) { in.HasOther = false }, Wait},
		"the other engine is as late":          {func(in *Input) { in.Other = 300 * ms }, Wait},
		"prompts elsewhere are overdue":        {func(in *Input) { in.Delays = []time.Duration{200 * ms, 300 * ms, 400 * ms} }, Wait},
		"late, with much time to the deadline": {func(in *Input) { in.Objective = 0 }, Wait},
		"late, and soon too late":              {func(in *Input) { in.Objective, in.Since, in.Deadline = 0, 5*time.Second, 500*ms }, Move},
		"hopeless":                             {func(in *Input) { in.Since, in.Deadline, in.Other = 5*time.Second, 100*ms, 200*ms }, Refuse},
		"too much work ahead":                  {func(in *Input) { in.Since, in.Predicted, in.Other = 0, 5*time.Second, 5*time.Second }, Refuse},
		"too much work ahead, but not at all":  {func(in *Input) { in.Since, in.Predicted = 0, 5*time.Second }, Wait},
	} {
		in := overdueInput()
		c.change(&in)
		if d := Decide(in); d.Action != c.want {
			t.Errorf("%s: %v, want %v (%+v)", name, d.Action, c.want, d)
		}
	}
}

// TestDecisionsAreBounded guards against moves that are not allowed or paid for, against refusals of what the other
// engine can serve, and against decisions that follow each other without a pause.
func TestDecisionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Second), int64(10*time.Second)).Draw(t, name))
		}
		in := Input{
			Since: max(0, duration("since")), Predicted: max(0, duration("predicted")), Objective: duration("objective"),
			Deadline: duration("deadline"), Other: max(0, duration("other")), HasOther: rapid.Bool().Draw(t, "has other"),
			Delays: NewDelays().Elsewhere("e", 0, 0), Movable: rapid.Bool().Draw(t, "movable"), Affordable: rapid.Bool().Draw(t, "affordable"),
		}
		d := Decide(in)
		if d.Action == Move && !(in.HasOther && in.Movable && in.Affordable && in.Since > in.Predicted && in.Other <= in.Deadline) {
			t.Fatalf("moved: %+v", in)
		}
		if d.Action == Refuse && in.HasOther && in.Other <= in.Deadline {
			t.Fatalf("refused although another engine can serve it: %+v", in)
		}
		if d.Action == Wait && d.CheckIn < checkInterval {
			t.Fatalf("the next decision is in %v", d.CheckIn)
		}
	})
}

// TestDelaysCountOtherEnginesOnly guards against a slow engine that makes all others seem slow, against delays that count
// forever, and against prompts that are taken back and count as short delays.
func TestDelaysCountOtherEnginesOnly(t *testing.T) {
	d := NewDelays()
	longest := func(engine string, now time.Duration) time.Duration {
		delays := d.Elsewhere(engine, 60*ms, now)
		return delays[len(delays)-1]
	}
	usual := longest("b", 0)
	slow := d.Sent("a", 60*ms, 0)
	if got := longest("b", time.Second); got != 2*(940*ms) {
		t.Errorf("a prompt in work counts with a delay of %v", got)
	}
	d.Ended(slow, false, time.Second)
	if got := longest("b", 2*time.Second); got != 2*(940*ms) {
		t.Errorf("a prompt that was taken back counts with a delay of %v", got)
	}
	if got := longest("a", 2*time.Second); got != usual {
		t.Errorf("an engine's own delay of %v counts", got)
	}
	if got := longest("b", 2*time.Second+validFor); got != usual {
		t.Errorf("a delay of %v counts too long", got)
	}
	d.Ended(d.Sent("a", 900*ms, 10*time.Second), true, 12*time.Second)
	if got := longest("b", 12*time.Second); got != usual {
		t.Errorf("the delay %v of a much longer prompt counts", got)
	}
}
