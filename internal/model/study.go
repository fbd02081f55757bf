package model

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sassafrasfield/internal/tomlfile"
)

// Study is a set of patterns to simulate under a set of policies, read from a TOML file.
type Study struct {
	// Seeds are the random seeds to run each combination with. No default.
	Seeds []int `toml:"seeds"`
	// Each pattern is run under each policy. No default.
	Pattern []Pattern `toml:"pattern"`
	Policy  []Policy  `toml:"policy"`
}

// Check implements settings.Checker.
func (s *Study) Check(file *tomlfile.File) {
	if len(s.Seeds) == 0 {
		file.Add("seeds", "must be given")
	}
	if len(s.Policy) == 0 {
		file.Add("policy", "must be given")
	}
	if len(s.Pattern) == 0 {
		file.Add("pattern", "must be given")
	}
	for _, p := range s.Pattern {
		p.check(file)
	}
	for _, p := range s.Policy {
		if !slices.Contains(choices, p.Choice) {
			file.Add("policy.choice", "%s: want one of %q, not %q", p.Name, choices, p.Choice)
		}
	}
}

func (p Pattern) check(file *tomlfile.File) {
	if p.Length < tick || p.Length > time.Hour {
		file.Add("pattern.length", "%s: want %s to an hour, not %s", p.Name, tick, p.Length)
	}
	if p.Fleet.Instances < 1 || p.Fleet.Engines < 2 || p.Fleet.Engine.Slots < 1 || p.Fleet.Engine.MemoryTokens < 1 || p.Fleet.Engine.EventTokens < 1 {
		file.Add("pattern.fleet", "%s: want an instance, two engines, and their slots, memory and event_tokens", p.Name)
	}
	for _, c := range p.Class {
		if c.Rate <= 0 || c.Own <= 0 || c.Answer <= 0 || c.WaitBudget <= 0 {
			file.Add("pattern.class", "%s, %s: rate, own, answer and patience must be above 0", p.Name, c.Name)
		}
	}
}

// Run simulates all patterns under all policies.
func (s *Study) Run() []*Result {
	var results []*Result
	for _, pattern := range s.Pattern {
		for _, policy := range s.Policy {
			for _, seed := range s.Seeds {
				results = append(results, Run(pattern, policy, uint64(seed)))
			}
		}
	}
	return results
}

// WriteTable writes a row for each result and class, with tab-separated columns.
func WriteTable(w io.Writer, results []*Result) error {
	lines := []string{"pattern\tpolicy\tclass\tasked\ton_time\tmissed\tfirst_p50_ms\tfirst_p99_ms\tfresh_mtok\tmoved_mtok\torders\tcredit" +
		"\tutilization\twait_p50_ms\twait_p90_ms\twait_p99_ms\tbeyond\tagain_mtok\tfetched_mtok\tbusiest\tmessages_per_prompt\tcandidates_per_prompt"}
	const microsPerMilli, million = 1e3, 1e6
	for _, r := range results {
		for _, name := range r.classNames() {
			c := r.Classes[name]
			lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.3f"+
				"\t%.2f\t%.0f\t%.0f\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f", r.Pattern, r.Policy, name, c.Requests,
				r.OnTime(name), r.Missed(name), float64(c.FirstEvent.ValueAtQuantile(50))/microsPerMilli, float64(c.FirstEvent.ValueAtQuantile(99))/microsPerMilli,
				float64(r.PrefilledTokens)/million, float64(r.TransferredTokens)/million, r.Orders, r.Credit(),
				r.Utilization, r.waitMillis(50), r.waitMillis(90), r.waitMillis(99), r.BeyondShare(), float64(r.AgainTokens)/million, float64(r.FetchedTokens)/million,
				r.BusiestShare, r.perPrompt(r.Messages), r.perPrompt(r.Candidates)))
		}
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return errors.Wrap(err, "model: table")
}

// classNames returns the sorted names of the classes.
func (r *Result) classNames() []string {
	var names []string
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Size of the plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot draws the mean credit of each policy, with a line for each pattern, into a file. The file extension
// selects the format.
func Plot(path string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "credit by policy"
	p.Y.Label.Text = "credit (on time 1, late 0.3, missed 0; mean of the classes)"
	p.Y.Min, p.Y.Max = 0, 1
	policies, patterns := distinct(results)
	var lines []any
	for _, pattern := range patterns {
		points := make(plotter.XYs, len(policies))
		for i, policy := range policies {
			points[i] = plotter.XY{X: float64(i), Y: meanCredit(results, pattern, policy)}
		}
		lines = append(lines, pattern, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "model: plot")
	}
	p.NominalX(policies...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "model: plot")
}

// distinct returns the policies and patterns in the order of their first results.
func distinct(results []*Result) (policies, patterns []string) {
	for _, r := range results {
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
		if !slices.Contains(patterns, r.Pattern) {
			patterns = append(patterns, r.Pattern)
		}
	}
	return policies, patterns
}

func meanCredit(results []*Result, pattern, policy string) float64 {
	sum, n := 0.0, 0
	for _, r := range results {
		if r.Pattern == pattern && r.Policy == policy {
			sum += r.Credit()
			n++
		}
	}
	return sum / float64(max(1, n))
}
