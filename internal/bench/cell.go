package bench

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"sassafrasfield/internal/loadgen"
)

// Conditions are what a group of cells has in common: all variants run under
// them side by side, with the same seed.
type Conditions struct {
	Deployment Deployment
	Lag        time.Duration
	Seed       uint64
	// Faults kills an engine and stops another during the swing.
	Faults bool
}

// Name tells the conditions apart.
func (c Conditions) Name() string {
	name := fmt.Sprintf("%s lag %s seed %d", c.Deployment.Name, c.Lag, c.Seed)
	if c.Faults {
		name += " faults"
	}
	return name
}

// Cell is one variant under one set of conditions.
type Cell struct {
	Deployment string         `json:"deployment"`
	Variant    string         `json:"variant"`
	LagSeconds float64        `json:"lag_s"`
	Seed       uint64         `json:"seed"`
	Faults     bool           `json:"faults"`
	Result     loadgen.Result `json:"result"`
	// RoleChanges that took effect during the run.
	RoleChanges int `json:"role_changes"`
	// MachineBusy is the share of all processors, 0 to 1, that was in use
	// during the run, whoever used it. Near 1 the figures tell little.
	MachineBusy float64 `json:"machine_busy"`
	// EntryCPU is the processor time of all entries, in seconds.
	EntryCPU float64 `json:"entry_cpu_s"`
}

// settle is the time after the start, beyond the reports' lag, in which reports
// and events come in.
const settle = 500 * time.Millisecond

// patience is the deadline that callers name, unless the variant says
// otherwise: far above the bound of a good answer.
const patience = 10 * time.Second

// answersWithin bounds the wait for the last answers.
const answersWithin = 12 * time.Second

// runCell starts a fleet, offers the load and stops the fleet.
func (r *run) runCell(ctx context.Context, c Conditions, v Variant) (Cell, error) {
	scenario := c.Deployment.Scenario(r.options.Phase, r.options.Rate)
	scenario.Keys = keys()
	scenario.Deadline = patience
	if v.Adjust != nil {
		scenario = v.Adjust(scenario)
	}
	tables := v.EntryTables + fmt.Sprintf("[engine]\nreport_every = %q\n", r.options.ReportEvery)
	flags := append([]string{"--report-lag", c.Lag.String()}, EngineModel...)
	f, err := start(ctx, plan{
		bin: r.options.Bin, dir: filepath.Join(r.options.Dir, directory(c.Name()+" "+v.Name)),
		zones: c.Deployment.Zones, model: scenario.Model, prefix: c.Deployment.Prefix, keys: scenario.Keys,
		entries: r.options.Entries, hosted: hosted, apart: engines - hosted, services: services,
		engineFlags: flags, entryTables: tables,
	})
	if err != nil {
		return Cell{}, err
	}
	defer f.Stop()
	time.Sleep(settle + c.Lag)
	before, machine := f.entryCPU(), readMachine()
	if c.Faults {
		go f.breakEngines(ctx, r.options.Phase)
	}
	ctx, cancel := context.WithTimeout(ctx, scenario.Duration()+answersWithin)
	defer cancel()
	result, err := loadgen.Run(ctx, loadgen.Options{Scenario: scenario, Targets: f.targets(), Seed: c.Seed})
	return Cell{
		MachineBusy: readMachine().busySince(machine),
		Deployment:  c.Deployment.Name, Variant: v.Name, LagSeconds: c.Lag.Seconds(), Seed: c.Seed,
		Faults: c.Faults, Result: result, EntryCPU: f.entryCPU() - before,
	}, err
}

// breakEngines kills one engine in the middle of the swing's first turn and
// stops another a second later.
func (f *fleet) breakEngines(ctx context.Context, phase time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(phase + phase/4):
	}
	f.apart[0].Kill()
	time.Sleep(time.Second)
	f.apart[1].Signal(syscall.SIGSTOP)
}

// entryCPU is the processor time of all entries so far, in seconds.
func (f *fleet) entryCPU() float64 {
	total := 0.0
	for _, e := range f.entries {
		total += usageOf(e.process.Pid()).cpu
	}
	return total
}

func keys() []string {
	var keys []string
	for i := range organisations {
		keys = append(keys, fmt.Sprintf("bench-key-%d", i+1))
	}
	return keys
}

func directory(name string) string {
	return strings.NewReplacer(" ", "-", ".", "_", ",", "").Replace(name)
}
