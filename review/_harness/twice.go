package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// stopWithin is how long the runner before may still work on a request that goes on at another one.
const stopWithin = 400 * time.Millisecond

// slowRunner: two of 18 runners turn slow. Unlike the others, these two work on when a connection is closed.
func slowRunner(rec *record, dir string, trouble bool) ([]string, error) {
	f, err := newFleet(rec, dir)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	const events, streams, slowdown = 20, 40, 5.0
	// the route's figures are those of naming-pass on the site agedim-sassafras
	const objective, pause, waits = 600, 300, 2400 * time.Millisecond
	var slow atomic.Bool
	chosen := map[string]bool{"mv1-114": true, "mv1-115": true} // the first two that generate
	plan := streamPlan{events: events, pause: 290 * time.Millisecond, firstID: 1, idStep: 1}
	plan.worksOn = func(runner string) bool { return chosen[runner] }
	plan.slowness = func(runner string) float64 {
		if slow.Load() && chosen[runner] {
			return slowdown
		}
		return 1
	}
	models, err := f.addModels(threeZones, 18, 13, "v1", 101, plan)
	if err != nil {
		return nil, err
	}
	c := config()
	c.Routes[0].SLOMS, c.Routes[0].ITLSLOMS = objective, pause
	if err := f.configure(c); err != nil {
		return nil, err
	}
	if err := f.addInstances(threeZones, 1); err != nil {
		return nil, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	settle(models)
	rec.say("%d instances ready, %d of %d model runners prefill", len(f.instances), phases(models), len(models))
	results := make([]result, streams)
	var work sync.WaitGroup
	for i := range streams {
		work.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			in := f.instances[i%len(f.instances)]
			results[i] = newCaller(in.front()).stream(fmt.Sprintf("match-%d", i), "/match/1", 200, 14*time.Second, waits)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, r := range models {
			if chosen[r.id] {
				rec.say("%s turns slow, with %d streams", r.id, r.runningNow())
			}
		}
		slow.Store(true)
		time.AfterFunc(5*time.Second, func() {
			slow.Store(false)
			rec.say("they are as fast as before")
		})
	}
	work.Wait()
	for _, x := range results {
		rec.logResult(x)
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until) && f.running(models) > 0; {
		time.Sleep(100 * time.Millisecond)
	}
	return overlaps(rec, models), nil
}

// running returns how many requests run.
func (f *fleet) running(list []*runner) int {
	n := 0
	for _, r := range list {
		n += r.runningNow()
	}
	return n
}

// overlaps returns the requests that went on at another runner while the one before still worked on them.
func overlaps(rec *record, models []*runner) []string {
	type run struct {
		arrival
		runner string
	}
	byID := map[string][]run{}
	for _, r := range models {
		for _, a := range r.runsUntilNow() {
			byID[a.id] = append(byID[a.id], run{a, r.id})
		}
	}
	var breaks []string
	for id, runs := range byID {
		for _, before := range runs {
			for _, next := range runs {
				if next.runner == before.runner || !next.at.After(before.at) {
					continue
				}
				over := before.ended.Sub(next.at)
				rec.say("%s ran at %s until %.3f, and at %s from %.3f on", id, before.runner, before.ended.Sub(rec.start).Seconds(), next.runner, next.at.Sub(rec.start).Seconds())
				if over > stopWithin {
					breaks = append(breaks, fmt.Sprintf("%s went on at %s while %s still worked on it, %.2f s later too", id, next.runner, before.runner, over.Seconds()))
				}
			}
		}
	}
	return breaks
}
