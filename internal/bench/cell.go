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

// Conditions are the parameters that a group of cells has in common. All variants run under them at the same
// time and with the same seed.
type Conditions struct {
	Deployment Deployment
	Lag        time.Duration
	Seed       uint64
	// Faults kills one engine and stops another during the swing.
	Faults bool
}

// Name returns a name that identifies the conditions.
func (c Conditions) Name() string {
	name := fmt.Sprintf("%s lag %s seed %d", c.Deployment.Name, c.Lag, c.Seed)
	if c.Faults {
		name += " faults"
	}
	return name
}

// Cell is the measurement of one variant under one set of conditions.
type Cell struct {
	Deployment string         `json:"deployment"`
	Variant    string         `json:"variant"`
	LagSeconds float64        `json:"lag_s"`
	Seed       uint64         `json:"seed"`
	Faults     bool           `json:"faults"`
	Result     loadgen.Result `json:"result"`
	// RoleChanges is the number of role changes that took effect during the run.
	RoleChanges int `json:"role_changes"`
	// MachineBusy is the fraction of all processor time, 0 to 1, that was in use during the run, by any
	// process. Near 1, the measurements are not meaningful.
	MachineBusy float64 `json:"machine_busy"`
	// EntryCPU is the processor time of all entries, in seconds.
	EntryCPU float64 `json:"entry_cpu_s"`
}

// settleTime is the time after the start, in addition to the report lag, in which reports and events arrive
// before the load begins.
const settleTime = 500 * time.Millisecond

// callerDeadline is the deadline that callers send unless the variant changes it. It is far above the bound
// of a good response.
const callerDeadline = 10 * time.Second

// maxAnswerWait limits the wait for the last responses.
const maxAnswerWait = 12 * time.Second

// runCell starts a fleet, offers the load and stops the fleet.
func (r *comparison) runCell(ctx context.Context, c Conditions, v Variant) (Cell, error) {
	scenario := c.Deployment.Scenario(r.options.Phase, r.options.Rate)
	scenario.Keys = keys()
	scenario.Deadline = callerDeadline
	if v.Adjust != nil {
		scenario = v.Adjust(scenario)
	}
	tables := v.EntryTables + fmt.Sprintf("[engine]\nreport_every = %q\n", r.options.ReportEvery)
	flags := append([]string{"--report-lag", c.Lag.String()}, EngineModel...)
	f, err := start(ctx, fleetPlan{
		bin: r.options.Bin, dir: filepath.Join(r.options.Dir, directoryName(c.Name()+" "+v.Name)),
		zones: c.Deployment.Zones, model: scenario.Model, prefix: c.Deployment.Prefix, keys: scenario.Keys,
		entries: r.options.Entries, hosted: hostedEngines, separate: engineCount - hostedEngines, services: serviceCount,
		engineFlags: flags, entryTables: tables,
	})
	if err != nil {
		return Cell{}, err
	}
	defer f.Stop()
	time.Sleep(settleTime + c.Lag)
	before, machine := f.entryCPU(), readMachine()
	if c.Faults {
		go f.breakEngines(ctx, r.options.Phase)
	}
	ctx, cancel := context.WithTimeout(ctx, scenario.Duration()+maxAnswerWait)
	defer cancel()
	result, err := loadgen.Run(ctx, loadgen.Options{Scenario: scenario, Targets: f.targets(), Seed: c.Seed})
	return Cell{
		MachineBusy: readMachine().busySince(machine),
		Deployment:  c.Deployment.Name, Variant: v.Name, LagSeconds: c.Lag.Seconds(), Seed: c.Seed,
		Faults: c.Faults, Result: result, EntryCPU: f.entryCPU() - before,
	}, err
}

// breakEngines kills one engine a quarter into the second phase of the swing, and stops another a second
// later.
func (f *fleet) breakEngines(ctx context.Context, phase time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(phase + phase/4):
	}
	f.separateEngines[0].Kill()
	time.Sleep(time.Second)
	f.separateEngines[1].Signal(syscall.SIGSTOP)
}

// entryCPU returns the processor time of all entries so far, in seconds.
func (f *fleet) entryCPU() float64 {
	total := 0.0
	for _, e := range f.entries {
		total += usageOf(e.process.Pid()).cpu
	}
	return total
}

func keys() []string {
	var keys []string
	for i := range organisationCount {
		keys = append(keys, fmt.Sprintf("bench-key-%d", i+1))
	}
	return keys
}

func directoryName(name string) string {
	return strings.NewReplacer(" ", "-", ".", "_", ",", "").Replace(name)
}
