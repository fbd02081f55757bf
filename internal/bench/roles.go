package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sassafrasfield/internal/loadgen"
)

// RoleVariant is a way to assign roles to engines.
type RoleVariant struct {
	Name string
	// Prefill and Decode are the numbers of engines that start in these roles. The other engines are mixed.
	Prefill, Decode int
	// Policy enables the role policy, with Weight as the weight of a role change.
	Policy bool
	Weight float64
	// Priorities gives the questions, which are short, a higher priority than long prompts.
	Priorities bool
}

// RoleVariants returns the variants to compare: engines in fixed roles (e), the same with the role policy (f)
// in two weightings, and mixed engines with and without priorities (g).
func RoleVariants(engines int) []RoleVariant {
	half := engines / 2
	return []RoleVariant{
		{Name: "e fixed roles", Prefill: half, Decode: engines - half},
		{Name: "f policy weight 0.5", Prefill: half, Decode: engines - half, Policy: true, Weight: 0.5},
		{Name: "f policy weight 5", Prefill: half, Decode: engines - half, Policy: true, Weight: 5},
		{Name: "g mixed", Priorities: false},
		{Name: "g mixed, priorities", Priorities: true},
	}
}

// RoleOptions configures a comparison of roles.
type RoleOptions struct {
	Bin, Dir, Out string
	Seeds         []uint64
	Deployment    Deployment
	Instances     int
	Engines       int
	// Phase is the length of each phase of the swing. Phases is their number; they alternate between short
	// and long prompts.
	Phase  time.Duration
	Phases int
	Rate   float64
	// MeanInterToken bounds the mean time between tokens of a good response.
	MeanInterToken time.Duration
	Log            io.Writer
}

// RoleCell is the measurement of one variant with one seed.
type RoleCell struct {
	Deployment string         `json:"deployment"`
	Variant    string         `json:"variant"`
	Seed       uint64         `json:"seed"`
	Changes    []string       `json:"role_changes"`
	Result     loadgen.Result `json:"result"`
}

// CompareRoles runs all variants with all seeds and writes a table and the cells as JSON. The variants run at
// the same time for each seed.
func CompareRoles(ctx context.Context, o RoleOptions) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return errors.WithStack(err)
	}
	var mu sync.Mutex // protects cells
	var cells []RoleCell
	for _, seed := range o.Seeds {
		group, gctx := errgroup.WithContext(ctx)
		for _, v := range RoleVariants(o.Engines) {
			group.Go(func() error {
				cell, err := runRoles(gctx, o, v, seed)
				if err != nil {
					return errors.WithMessagef(err, "%s seed %d", v.Name, seed)
				}
				mu.Lock()
				defer mu.Unlock()
				cells = append(cells, cell)
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
	}
	return writeRoles(o, cells)
}

func runRoles(ctx context.Context, o RoleOptions, v RoleVariant, seed uint64) (RoleCell, error) {
	scenario := roleScenario(o, v)
	f, err := startRoles(ctx, o, v, seed, scenario)
	if err != nil {
		return RoleCell{}, err
	}
	defer f.Stop()
	ctx, cancel := context.WithTimeout(ctx, scenario.Duration()+maxAnswerWait)
	defer cancel()
	result, err := loadgen.Run(ctx, loadgen.Options{Scenario: scenario, Targets: f.targets(), Seed: seed})
	if err != nil {
		return RoleCell{}, err
	}
	changes, err := f.changes(context.WithoutCancel(ctx))
	return RoleCell{Deployment: o.Deployment.Name, Variant: v.Name, Seed: seed, Changes: changes, Result: result}, err
}

// roleScenario returns the deployment's load with the requested number of phases and without calls to plain
// services.
func roleScenario(o RoleOptions, v RoleVariant) loadgen.Scenario {
	scenario := o.Deployment.Scenario(o.Phase, o.Rate)
	scenario.Keys = keys()
	scenario.CallRate = 0
	scenario.Bounds.MeanInterToken = o.MeanInterToken
	alternating := scenario.Phases[:2]
	scenario.Phases = nil
	for i := range o.Phases {
		scenario.Phases = append(scenario.Phases, alternating[i%2])
	}
	if v.Priorities {
		scenario.Classes = slices.Clone(scenario.Classes)
		scenario.Classes[1].Priority = 1
	}
	return scenario
}

// writeRoles writes the cells, and a table with the means over the seeds.
func writeRoles(o RoleOptions, cells []RoleCell) error {
	data, err := json.MarshalIndent(cells, "", " ")
	if err != nil {
		return errors.Wrap(err, "bench: encode")
	}
	name := filepath.Join(o.Out, "roles-"+o.Deployment.Name)
	if err := os.WriteFile(name+".json", data, 0o644); err != nil {
		return errors.WithStack(err)
	}
	table := rolesTable(o, cells)
	fmt.Fprintln(o.Log, table)
	return errors.WithStack(os.WriteFile(name+".md", []byte(table), 0o644))
}

func rolesTable(o RoleOptions, cells []RoleCell) string {
	var b strings.Builder
	b.WriteString("| deployment | variant | good, % of offered (each seed) | goodput /s | first token p50 / p95 / p99 ms " +
		"| between tokens p50 / p95 / p99 ms | late | refused | broken | role changes (each seed) |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, v := range RoleVariants(o.Engines) {
		b.WriteString(rolesRow(o, v, cells))
	}
	return b.String()
}

func rolesRow(o RoleOptions, v RoleVariant, cells []RoleCell) string {
	var good, changes []string
	var sum [10]float64
	n := 0.0
	for _, seed := range o.Seeds {
		i := slices.IndexFunc(cells, func(c RoleCell) bool { return c.Seed == seed && c.Variant == v.Name })
		r := cells[i].Result
		good = append(good, fmt.Sprintf("%.1f", 100*r.GoodShare()))
		changes = append(changes, fmt.Sprint(len(cells[i].Changes)))
		for j, x := range []float64{
			r.Goodput, r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.InterToken.P50, r.InterToken.P95, r.InterToken.P99,
			float64(r.Late), float64(r.Refused), float64(r.Broken),
		} {
			sum[j] += x
		}
		n++
	}
	for j := range sum {
		sum[j] /= n
	}
	return fmt.Sprintf("| %s | %s | %s | %.1f | %.0f / %.0f / %.0f | %.0f / %.0f / %.0f | %.0f | %.0f | %.1f | %s |\n",
		o.Deployment.Name, v.Name, strings.Join(good, ", "), sum[0], sum[1], sum[2], sum[3], sum[4], sum[5], sum[6],
		sum[7], sum[8], sum[9], strings.Join(changes, ", "))
}
