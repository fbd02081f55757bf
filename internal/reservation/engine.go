package reservation

import (
	"math"
	"slices"
	"time"
)

const (
	// overdueShare is the part of the time that an overdue prompt has taken that it is expected to take further.
	// 0.3 to 1 perform alike in package model; with 0.15 a fifth more prompts end late.
	overdueShare = 0.5
	// overdueBelief is the part of a head's delay that is expected of the prompts behind it: after a slow prompt
	// the next one is slow in 55 to 65% of cases.
	overdueBelief = 0.6
	// maxOverdue is how many times its predicted time a prompt is given before its Done counts as lost: a cold
	// read instead of a cached one takes up to 4.6 times as long, and slow engines need 1.4 to 3 times as long.
	maxOverdue = 5
	// maxOvertaken is how many later prompts may be processed before one whose Done doesn't count as lost yet:
	// messages that take 1 to 3 ms swap the order of two prompts at times.
	maxOvertaken = 1
	// minPatience is the least time that a prompt is given: short ones vary more than in proportion.
	minPatience = time.Second
)

// engine is the queue of one engine.
type engine struct {
	// entries are in the order of their placement; the first is being processed.
	entries []*entry
	// busy is the sum of the predicted times of the entries at the usual speed.
	busy time.Duration
	// freeAt is the time at which the last prompt ended.
	freeAt time.Duration
	usedAt time.Duration
	speed  speed
}

func newEngine(now time.Duration) *engine {
	return &engine{usedAt: now, speed: newSpeed(now)}
}

func (on *engine) add(e *entry, now time.Duration) {
	on.entries = append(on.entries, e)
	on.busy += e.grant.Busy
	on.usedAt = now
}

func (on *engine) remove(e *entry) {
	i := slices.Index(on.entries, e)
	if i < 0 {
		return
	}
	on.entries = slices.Delete(on.entries, i, i+1)
	on.busy -= e.grant.Busy
}

// begun returns the time at which an entry at the head of the queue began.
func (on *engine) begun(e *entry) time.Duration {
	return max(e.placedAt, on.freeAt)
}

// wait returns the time until the engine has processed its entries, and its expected speed.
func (on *engine) wait(now time.Duration) (time.Duration, float64) {
	speed := on.speed.at(now)
	if len(on.entries) == 0 {
		return 0, speed
	}
	head := on.entries[0]
	taken := max(0, now-on.begun(head))
	left := scale(head.grant.Busy, speed) - taken
	if overdue := time.Duration(overdueShare * float64(taken)); left < overdue {
		left = overdue
	}
	if !on.speed.usual {
		speed = overdueSpeed(speed, taken, head.grant.Busy)
	}
	return left + scale(on.busy-head.grant.Busy, speed), speed
}

// overdueSpeed returns the speed to expect of an engine whose current prompt has taken a time so far.
func overdueSpeed(speed float64, taken, busy time.Duration) float64 {
	if busy < leastBusy {
		return speed
	}
	ratio := float64(taken) / float64(busy)
	return min(max(speed, speed+overdueBelief*(ratio-speed)), max(speed, slowest))
}

// expired returns the entries at the head of the queue whose Done counts as lost. They end at their predicted
// time.
func (on *engine) expired(now time.Duration) (lost []*entry) {
	for _, e := range on.entries {
		expected := scale(e.grant.Busy, on.speed.at(now))
		begun := on.begun(e)
		if now-begun <= max(maxOverdue*expected, minPatience) {
			break
		}
		on.freeAt = begun + expected
		lost = append(lost, e)
	}
	return lost
}

// done learns from the end of a prompt. It returns the entries whose Done counts as lost: a prompt that was
// placed later and ended earlier shows that the engine processes in another order, or that a Done was lost.
func (on *engine) done(e *entry, processed bool, now time.Duration) (lost []*entry) {
	first := on.entries[0] == e
	begun := on.begun(e)
	if !processed {
		if first {
			on.freeAt = max(on.freeAt, now)
		}
		return nil
	}
	if first {
		on.speed.observe(now-begun, e.grant.Busy, now)
	}
	lost = on.overtake(e, now)
	on.freeAt = max(on.freeAt, now)
	on.usedAt = now
	return lost
}

// overtake counts a prompt that ended before those ahead of it. It returns those whose Done counts as lost.
func (on *engine) overtake(e *entry, now time.Duration) (lost []*entry) {
	for i, ahead := range on.entries {
		if ahead == e {
			break
		}
		ahead.overtaken++
		overdue := i == 0 && now-on.begun(ahead) > scale(ahead.grant.Busy+e.grant.Busy, on.speed.at(now))
		if overdue || ahead.overtaken > maxOvertaken {
			lost = append(lost, ahead)
		}
	}
	return lost
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Round(float64(d) * factor))
}
