package loadgen

import (
	"context"
	"sync"
	"time"
)

// Options describe a run.
type Options struct {
	Scenario Scenario
	// Targets are host:port of entries; requests go round them, as behind a
	// balancer.
	Targets []string
	Seed    uint64
}

// Run offers the load and waits for the last answer. The context ends the
// waiting; answers that are not whole by then count as broken.
func Run(ctx context.Context, options Options) (Result, error) {
	if err := options.Scenario.Check(); err != nil {
		return Result{}, err
	}
	planned := arrivals(options.Scenario, options.Seed)
	caller := newCaller(options.Scenario, options.Targets)
	defer caller.http.CloseIdleConnections()
	book := newBook(options.Scenario)
	var work sync.WaitGroup
	start := time.Now()
	for n, a := range planned {
		time.Sleep(time.Until(start.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		work.Go(func() { book.record(a, caller.do(ctx, a, n)) })
	}
	work.Wait()
	return book.finish(options.Scenario.Duration()), nil
}
