package bench

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// write writes the cells, the tables and the plots into the folder Out.
func (r *comparison) write() error {
	slices.SortFunc(r.cells, func(a, b Cell) int {
		return cmp.Or(
			cmp.Compare(b.Deployment, a.Deployment), compareBool(a.Faults, b.Faults),
			cmp.Compare(a.LagSeconds, b.LagSeconds), cmp.Compare(a.Variant, b.Variant), cmp.Compare(a.Seed, b.Seed),
		)
	})
	data, err := json.MarshalIndent(r.cells, "", " ")
	if err != nil {
		return errors.Wrap(err, "bench: encode")
	}
	out := r.options.Out
	if err := os.WriteFile(filepath.Join(out, "routing.json"), data, 0o644); err != nil {
		return errors.WithStack(err)
	}
	if err := writeCSV(filepath.Join(out, "routing.csv"), r.cells); err != nil {
		return err
	}
	table := markdown(r.cells)
	if err := os.WriteFile(filepath.Join(out, "routing.md"), []byte(table), 0o644); err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintln(r.options.Log, table)
	return plotSwings(out, r.cells)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func writeCSV(path string, cells []Cell) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	rows := [][]string{{
		"deployment", "lag_s", "faults", "variant", "seed", "offered", "good", "late", "refused", "broken", "goodput",
		"ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms", "tbt_p50_ms", "tbt_p95_ms", "tbt_p99_ms",
		"calls", "calls_failed", "call_p99_ms", "role_changes", "entry_cpu_s", "machine_busy",
	}}
	for _, c := range cells {
		rows = append(rows, row(c))
	}
	return errors.WithStack(w.WriteAll(rows))
}

func row(c Cell) []string {
	r := c.Result
	fields := []string{c.Deployment, number(c.LagSeconds), strconv.FormatBool(c.Faults), c.Variant}
	for _, n := range []int{int(c.Seed), r.Offered, r.Good, r.Late, r.Refused, r.Broken} {
		fields = append(fields, strconv.Itoa(n))
	}
	fields = append(fields, number(r.Goodput))
	for _, q := range []float64{
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.InterToken.P50, r.InterToken.P95, r.InterToken.P99,
	} {
		fields = append(fields, number(q))
	}
	return append(fields, strconv.Itoa(r.Calls), strconv.Itoa(r.CallsFailed), number(r.Call.P99),
		strconv.Itoa(c.RoleChanges), number(c.EntryCPU), number(c.MachineBusy))
}

func number(x float64) string {
	return strconv.FormatFloat(x, 'f', 2, 64)
}

// markdown returns a table with a row for each variant under each set of conditions. A row has the means over
// the seeds, and for the share of good responses also the lowest and highest value.
func markdown(cells []Cell) string {
	var b strings.Builder
	b.WriteString("| deployment | lag | faults | variant | good, % of offered (lowest to highest seed) | goodput /s " +
		"| first token p50 / p95 / p99 ms | between tokens p50 / p95 / p99 ms | late | refused | broken | role changes | entries' CPU s | machine busy % |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for start := 0; start < len(cells); {
		end := start + 1
		for end < len(cells) && sameRow(cells[start], cells[end]) {
			end++
		}
		b.WriteString(markdownRow(cells[start:end]))
		start = end
	}
	return b.String()
}

func sameRow(a, b Cell) bool {
	return a.Deployment == b.Deployment && a.LagSeconds == b.LagSeconds && a.Faults == b.Faults && a.Variant == b.Variant
}

func markdownRow(seeds []Cell) string {
	mean := func(value func(Cell) float64) float64 {
		total := 0.0
		for _, c := range seeds {
			total += value(c)
		}
		return total / float64(len(seeds))
	}
	good := func(c Cell) float64 { return 100 * c.Result.GoodShare() }
	lowest, highest := good(seeds[0]), good(seeds[0])
	for _, c := range seeds {
		lowest, highest = min(lowest, good(c)), max(highest, good(c))
	}
	faults := "no"
	if seeds[0].Faults {
		faults = "yes"
	}
	return fmt.Sprintf("| %s | %g s | %s | %s | %.1f (%.1f to %.1f) | %.1f | %.0f / %.0f / %.0f | %.0f / %.0f / %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.0f |\n",
		seeds[0].Deployment, seeds[0].LagSeconds, faults, seeds[0].Variant, mean(good), lowest, highest,
		mean(func(c Cell) float64 { return c.Result.Goodput }),
		mean(func(c Cell) float64 { return c.Result.FirstToken.P50 }),
		mean(func(c Cell) float64 { return c.Result.FirstToken.P95 }),
		mean(func(c Cell) float64 { return c.Result.FirstToken.P99 }),
		mean(func(c Cell) float64 { return c.Result.InterToken.P50 }),
		mean(func(c Cell) float64 { return c.Result.InterToken.P95 }),
		mean(func(c Cell) float64 { return c.Result.InterToken.P99 }),
		mean(func(c Cell) float64 { return float64(c.Result.Late) }),
		mean(func(c Cell) float64 { return float64(c.Result.Refused) }),
		mean(func(c Cell) float64 { return float64(c.Result.Broken) }),
		mean(func(c Cell) float64 { return float64(c.RoleChanges) }),
		mean(func(c Cell) float64 { return c.EntryCPU }),
		mean(func(c Cell) float64 { return 100 * c.MachineBusy }))
}
