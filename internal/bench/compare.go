package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Options of a comparison.
type Options struct {
	// Bin is the folder of the built programs, Dir takes settings and logs,
	// Out the results.
	Bin, Dir, Out string
	// Seeds, Lags: each is run with each, without faults; the middle lag with
	// faults too.
	Seeds []uint64
	Lags  []time.Duration
	// Phase is the length of each of the swing's three phases, Rate the
	// completions a second.
	Phase time.Duration
	Rate  float64
	// Variants to set beside each other, and Deployments.
	Variants    []Variant
	Deployments []Deployment
	// Entries of each fleet, and the time between their reads of a report.
	Entries     int
	ReportEvery time.Duration
	// MaxParallelGroups is how many groups run at a time.
	MaxParallelGroups int
	Log        io.Writer
}

// run is one comparison.
type run struct {
	options Options

	mu    sync.Mutex // protects cells
	cells []Cell
}

// Compare runs all variants under all conditions and writes the results.
func Compare(ctx context.Context, options Options) error {
	if err := os.MkdirAll(options.Out, 0o755); err != nil {
		return errors.WithStack(err)
	}
	r := &run{options: options}
	started := time.Now()
	groups, gctx := errgroup.WithContext(ctx)
	groups.SetLimit(max(1, options.MaxParallelGroups))
	conditions := r.conditions()
	for i, c := range conditions {
		groups.Go(func() error {
			fmt.Fprintf(options.Log, "%3.0fs %d/%d %s\n", time.Since(started).Seconds(), i+1, len(conditions), c.Name())
			return r.group(gctx, c)
		})
	}
	if err := groups.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(options.Log, "took %.0f s\n", time.Since(started).Seconds())
	return r.write()
}

// conditions are all groups: for the first deployment each lag with each seed,
// and the middle lag with faults; for the others the middle lag.
func (r *run) conditions() []Conditions {
	o := r.options
	middle := o.Lags[len(o.Lags)/2]
	var all []Conditions
	for _, seed := range o.Seeds {
		for i, d := range o.Deployments {
			if i > 0 {
				all = append(all, Conditions{Deployment: d, Lag: middle, Seed: seed})
				continue
			}
			for _, lag := range o.Lags {
				all = append(all, Conditions{Deployment: d, Lag: lag, Seed: seed})
			}
			all = append(all, Conditions{Deployment: d, Lag: middle, Seed: seed, Faults: true})
		}
	}
	return all
}

// group runs the variants at the same time, so that what else the machine does
// meets all of them.
func (r *run) group(ctx context.Context, c Conditions) error {
	cells, ctx := errgroup.WithContext(ctx)
	for _, v := range r.options.Variants {
		cells.Go(func() error {
			cell, err := r.runCell(ctx, c, v)
			if err != nil {
				return errors.WithMessage(err, c.Name()+" "+v.Name)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.cells = append(r.cells, cell)
			return nil
		})
	}
	return cells.Wait()
}
