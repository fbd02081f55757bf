package relocation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a load on engines that process prompts one after another, sent by instances that know the engines' work from
// reports of some age. It advances in steps.
type fleet struct {
	engines, instances int
	// perSecond scales the traffic of kitami by its 330 prompts a second.
	perSecond float64
	// slow is the share of the engines that need slowness times as long.
	slow, slowness float64
	off            bool // nothing moves and nothing is refused
}

// kind is a class of prompts; work is the usual time of one on an engine.
type kind struct {
	share                     float64
	work, objective, deadline time.Duration
}

// kinds are those of kitami, with works that occupy 63% of 65 engines.
var kinds = []kind{
	{0.285, 230 * time.Millisecond, 600 * time.Millisecond, 5 * time.Second},
	{0.215, 200 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second},
	{0.5, 30 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second},
}

type job struct {
	kind                                      kind
	instance, engine, moves                   int
	arrived, sent, predicted, left, nextCheck time.Duration
	record                                    *Prompt
	rng                                       *rand.Rand // of this job, so that a decision changes the draws of no other one
}

// result counts prompts by what became of them.
type result struct{ sent, moved, inTime, late, refused, ended int }

const (
	step     = 5 * time.Millisecond
	runFor   = 6 * time.Second
	handOver = 50 * time.Millisecond
	// reportAge is the age of what instances know of prompts that others sent.
	reportAge = 300 * time.Millisecond
)

// play runs the load.
func (f fleet) play(seed uint64) (total result) {
	delays := make([]*Delays, f.instances)
	for i := range delays {
		delays[i] = NewDelays()
	}
	queues, nominal := make([][]*job, f.engines), [][]time.Duration{}
	budget := 19.0
	due := 0.0
	for now := time.Duration(0); now < runFor; now += step {
		current := make([]time.Duration, f.engines)
		for e, queue := range queues {
			for _, j := range queue {
				current[e] += j.kind.work
			}
		}
		nominal = append(nominal, current)
		known := nominal[max(0, len(nominal)-1-int(reportAge/step))]
		budget = min(190, budget+0.9*(0.2*f.perSecond+19)*step.Seconds())
		for due += f.perSecond * step.Seconds(); due >= 1; due-- {
			j := &job{arrived: now, engine: -1, rng: rand.New(rand.NewPCG(seed, uint64(total.sent)))}
			j.kind, j.instance = pickKind(j.rng), j.rng.IntN(f.instances)
			total.sent++
			if _, wait := f.best(j, -1, known, queues, now); !f.off && wait+j.kind.work > j.kind.deadline-handOver {
				total.refused++ // as Decide does for a prompt that is not sent yet
				continue
			}
			f.send(j, known, queues, delays, now)
		}
		for e := range queues {
			for _, j := range slices.Clone(queues[e]) {
				left := j.kind.deadline - handOver - (now - j.arrived)
				outcome := Wait
				if !f.off && now >= j.nextCheck {
					outcome = f.decide(j, known, queues, delays, left, budget >= 1, now)
				}
				if left > 0 && outcome == Wait {
					continue
				}
				queues[e] = slices.DeleteFunc(queues[e], func(other *job) bool { return other == j })
				delays[j.instance].Ended(j.record, false, now)
				switch {
				case outcome == Move:
					budget--
					total.moved++
					j.moves++
					f.send(j, known, queues, delays, now)
				case outcome == Refuse:
					total.refused++
				default:
					total.ended++
				}
			}
			f.work(queues, e, delays, now, &total)
		}
	}
	return total
}

func pickKind(rng *rand.Rand) kind {
	draw := rng.Float64()
	for _, k := range kinds {
		if draw -= k.share; draw < 0 {
			return k
		}
	}
	return kinds[0]
}

// send places a job on the engine with the least known work.
func (f fleet) send(j *job, known []time.Duration, queues [][]*job, delays []*Delays, now time.Duration) {
	from := j.engine
	best, wait := f.best(j, from, known, queues, now)
	j.engine, j.sent, j.predicted = best, now, wait+j.kind.work
	j.left = time.Duration(float64(j.kind.work) * math.Exp(0.1*j.rng.NormFloat64()))
	j.nextCheck = now + FirstCheck(j.predicted, j.kind.deadline-handOver-(now-j.arrived))
	j.record = delays[j.instance].Sent(string(rune(best)), j.predicted, now)
	queues[best] = append(queues[best], j)
}

// candidates is the number of engines that a prompt may go to at little cost, because they have its shared part.
const candidates = 6

// best returns the engine with the least work that the job's instance knows, out of some: what was reported, and what
// the instance sent since.
func (f fleet) best(j *job, except int, known []time.Duration, queues [][]*job, now time.Duration) (int, time.Duration) {
	best, least := -1, time.Duration(math.MaxInt64)
	for range candidates {
		e := j.rng.IntN(f.engines)
		work := known[e]
		for _, other := range queues[e] {
			if other != j && other.instance == j.instance && now-other.sent < reportAge {
				work += other.kind.work
			}
		}
		if e != except && work < least {
			best, least = e, work
		}
	}
	return best, least
}

func (f fleet) decide(j *job, known []time.Duration, queues [][]*job, delays []*Delays, left time.Duration, affordable bool, now time.Duration) Action {
	_, wait := f.best(j, j.engine, known, queues, now)
	d := Decide(Input{
		Since: now - j.sent, Predicted: j.predicted, Objective: j.kind.objective - handOver - (now - j.arrived), Deadline: left,
		Other: wait + j.kind.work, HasOther: true, Delays: delays[j.instance].Elsewhere(string(rune(j.engine)), j.predicted, now), Movable: j.moves < 2, Affordable: affordable,
	})
	j.nextCheck = now + d.CheckIn
	return d.Action
}

// work advances an engine by a step and returns the number of prompts that ended late.
func (f fleet) work(queues [][]*job, e int, delays []*Delays, now time.Duration, total *result) {
	capacity := step
	if float64(e) < f.slow*float64(f.engines) && now > time.Second {
		capacity = time.Duration(float64(step) / f.slowness)
	}
	for capacity > 0 && len(queues[e]) > 0 {
		j := queues[e][0]
		done := min(capacity, j.left)
		capacity, j.left = capacity-done, j.left-done
		if j.left > 0 {
			break
		}
		queues[e] = queues[e][1:]
		delays[j.instance].Ended(j.record, true, now+step)
		if now+step+handOver-j.arrived > j.kind.objective {
			total.late++
		} else {
			total.inTime++
		}
	}
}

// playBoth runs the load with and without decisions.
func (f fleet) playBoth() (with, without result) {
	off := f
	off.off = true
	return f.play(1), off.play(1)
}

// TestLoads guards against prompts that end by their deadline at slow or overloaded engines, and against moves that cost
// more responses in time than they gain. The loads: two in five engines at a quarter of their speed, three times the
// callers, and both.
func TestLoads(t *testing.T) {
	for name, f := range map[string]fleet{
		"two in five slow":                {perSecond: 330, slow: 0.4, slowness: 4},
		"two in five slow, fewer callers": {perSecond: 200, slow: 0.4, slowness: 4},
		"three times the callers":         {perSecond: 990, slowness: 1},
		"two in five slow, three times":   {perSecond: 990, slow: 0.4, slowness: 4},
		"no engine slow":                  {perSecond: 330, slowness: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f.engines, f.instances = 65, 75
			with, without := f.playBoth()
			t.Logf("with %+v, without %+v", with, without)
			if with.ended > without.ended/4 {
				t.Errorf("%d prompts ended by their deadline, %d without decisions", with.ended, without.ended)
			}
			if float64(with.inTime) < 0.97*float64(without.inTime) {
				t.Errorf("%d in time, %d without decisions", with.inTime, without.inTime)
			}
		})
	}
}

// TestNothingMovesIfAllEnginesAreSlow guards against a cascade: prompts that move between engines that are all slow,
// each move adding work.
func TestNothingMovesIfAllEnginesAreSlow(t *testing.T) {
	for _, instances := range []int{1, 9, 75, 400} {
		for _, perSecond := range []float64{100, 330} {
			t.Run(fmt.Sprintf("%d instances, %v a second", instances, perSecond), func(t *testing.T) {
				t.Parallel()
				f := fleet{engines: 65, instances: instances, perSecond: perSecond, slow: 1, slowness: 4}
				with, without := f.playBoth()
				t.Logf("with %+v, without %+v", with, without)
				if with.moved > with.sent/20 {
					t.Errorf("%d of %d prompts moved", with.moved, with.sent)
				}
			})
		}
	}
}
