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

// Options configures a comparison.
type Options struct {
	// Bin is the folder of the built programs, Dir the folder for settings and logs, Out the folder for the
	// results.
	Bin, Dir, Out string
	// Each of Seeds is run with each of Lags without faults, and with the middle lag with faults too.
	Seeds []uint64
	Lags  []time.Duration
	// Phase is the length of each of the three phases of the swing, Rate the number of completions per
	// second.
	Phase time.Duration
	Rate  float64
	// Variants and Deployments to compare.
	Variants    []Variant
	Deployments []Deployment
	// Entries is the number of entries in each fleet, ReportEvery the interval at which they read an engine's
	// report.
	Entries     int
	ReportEvery time.Duration
	// MaxParallelGroups is the number of groups that run at the same time.
	MaxParallelGroups int
	Log               io.Writer
}

// comparison is the state of a comparison.
type comparison struct {
	options Options

	mu    sync.Mutex // protects cells
	cells []Cell
}

// Compare runs all variants under all conditions and writes the results.
func Compare(ctx context.Context, options Options) error {
	if err := os.MkdirAll(options.Out, 0o755); err != nil {
		return errors.WithStack(err)
	}
	r := &comparison{options: options}
	started := time.Now()
	groups, gctx := errgroup.WithContext(ctx)
	groups.SetLimit(max(1, options.MaxParallelGroups))
	conditions := r.conditions()
	for i, c := range conditions {
		groups.Go(func() error {
			fmt.Fprintf(options.Log, "%3.0fs %d/%d %s\n", time.Since(started).Seconds(), i+1, len(conditions), c.Name())
			return r.runGroup(gctx, c)
		})
	}
	if err := groups.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(options.Log, "took %.0f s\n", time.Since(started).Seconds())
	return r.write()
}

// conditions returns the conditions of all groups: for the first deployment each lag with each seed, and the
// middle lag with faults; for the other deployments only the middle lag.
func (r *comparison) conditions() []Conditions {
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

// runGroup runs the variants at the same time, so that other load on the machine affects all of them alike.
func (r *comparison) runGroup(ctx context.Context, c Conditions) error {
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
