package loadgen

import (
	"context"
	"sync"
	"time"
)

// Options configures a run.
type Options struct {
	Scenario Scenario
	// Targets are the addresses (host:port) of entries. Requests are sent to them round-robin, as behind a
	// load balancer.
	Targets []string
	Seed    uint64
}

// Run offers the load and waits for the last response. When the context ends, it stops waiting, and responses
// that are not complete by then count as broken.
func Run(ctx context.Context, options Options) (Result, error) {
	if err := options.Scenario.Check(); err != nil {
		return Result{}, err
	}
	planned := arrivals(options.Scenario, options.Seed)
	caller := newCaller(options.Scenario, options.Targets)
	defer caller.http.CloseIdleConnections()
	recorder := newRecorder(options.Scenario)
	var work sync.WaitGroup
	start := time.Now()
	for n, a := range planned {
		time.Sleep(time.Until(start.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		work.Go(func() { recorder.record(a, caller.do(ctx, a, n)) })
	}
	work.Wait()
	return recorder.finish(options.Scenario.Duration()), nil
}
