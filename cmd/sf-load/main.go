// Command sf-load sends an open-loop load to entries and prints the results as
// seen by callers, as JSON. It also runs the comparisons of docs/MEASUREMENTS.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/internal/bench"
	"sassafrasfield/internal/loadgen"
)

// answerTimeout bounds the wait for the last answers after the load of a run has ended.
const answerTimeout = time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("sf-load", "Offer an open-loop load to entries, and measure.")
	run := runCommand(app)
	compare := compareCommand(app)
	overhead := overheadCommand(app)
	roles := rolesCommand(app)
	model := modelCommand(app)
	commands := map[string]func(context.Context) error{
		run.name: run.action, compare.name: compare.action, overhead.name: overhead.action, roles.name: roles.action, model.name: model.action,
	}
	if err := commands[kingpin.MustParse(app.Parse(os.Args[1:]))](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "sf-load:", err)
		os.Exit(1)
	}
}

type command struct {
	name   string
	action func(context.Context) error
}

// runCommand sends one load to entries that are already running.
func runCommand(app *kingpin.Application) command {
	cmd := app.Command("run", "Offer a load to entries that run already.")
	targets := cmd.Flag("target", "Entry (host:port); repeat for more.").Required().Strings()
	model := cmd.Flag("model", "Model.").Required().String()
	keys := cmd.Flag("key", "API key, one an organisation; repeat for more.").Required().Strings()
	seed := cmd.Flag("seed", "Seed.").Default("1").Uint64()
	prefixes := cmd.Flag("prefixes", "Shared prompt prefixes.").Default("8").Int()
	shared := cmd.Flag("shared", "Part of a prompt that is a shared prefix, 0 to 1.").Default("0.5").Float64()
	firstToken := cmd.Flag("first-token", "Bound on the first token.").Default("450ms").Duration()
	token := cmd.Flag("token", "Bound on the mean time between tokens.").Default("40ms").Duration()
	duration := cmd.Flag("duration", "How long.").Default("10s").Duration()
	rate := cmd.Flag("rate", "Requests a second.").Default("10").Float64()
	prompt := cmd.Flag("prompt", "Mean prompt tokens.").Default("500").Int()
	answer := cmd.Flag("answer", "Mean answer tokens.").Default("50").Int()
	retry := cmd.Flag("retry", "Come back after a refusal when Retry-After says so.").Bool()
	return command{name: cmd.FullCommand(), action: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, *duration+answerTimeout)
		defer cancel()
		result, err := loadgen.Run(ctx, loadgen.Options{Targets: *targets, Seed: *seed, Scenario: loadgen.Scenario{
			Name: "run", Model: *model, Keys: *keys, Prefixes: *prefixes, HonourRetryAfter: *retry,
			Classes: []loadgen.Class{{Name: "all", PromptTokens: *prompt, AnswerTokens: *answer, SharedFraction: *shared}},
			Phases:  []loadgen.Phase{{Duration: *duration, Rate: *rate, Mix: []float64{1}}},
			Bounds:  loadgen.Bounds{FirstToken: *firstToken, MeanInterToken: *token},
		}})
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}}
}

// compareCommand compares the routing policies.
func compareCommand(app *kingpin.Application) command {
	cmd := app.Command("compare", "Set the routing policies beside each other, on fleets that it starts.")
	bin := cmd.Flag("bin", "Folder of the built programs.").Default("bin").String()
	out := cmd.Flag("out", "Folder for the results.").Default("out").String()
	seeds := cmd.Flag("seed", "Seed; repeat for more.").Default("1", "2", "3").Uint64List()
	lags := cmd.Flag("lag", "Lag of load reports; repeat for more.").Default("200ms", "1s", "5s").DurationList()
	phase := cmd.Flag("phase", "Length of each of the swing's three phases.").Default("4s").Duration()
	rate := cmd.Flag("rate", "Completions a second.").Default("22").Float64()
	sideBySide := cmd.Flag("side-by-side", "Groups of fleets at a time.").Default("1").Int()
	entries := cmd.Flag("entries", "Entries of each fleet.").Default(strconv.Itoa(bench.Entries)).Int()
	reportEvery := cmd.Flag("report-every", "Time between an entry's reads of an engine's report.").Default("200ms").Duration()
	variants := cmd.Flag("variant", "First letter of a variant; repeat for more. All when none is given.").Strings()
	return command{name: cmd.FullCommand(), action: func(ctx context.Context) error {
		dir, err := os.MkdirTemp("", "sf-bench-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		return bench.Compare(ctx, bench.Options{
			Bin: *bin, Dir: dir, Out: *out, Seeds: *seeds, Lags: *lags, Phase: *phase, Rate: *rate,
			Variants: bench.VariantsNamed(*variants), Deployments: bench.Deployments(),
			Entries: *entries, ReportEvery: *reportEvery, MaxParallelGroups: *sideBySide, Log: os.Stderr,
		})
	}}
}

// overheadCommand measures the overhead of sf-entry over a direct connection to
// an engine.
func overheadCommand(app *kingpin.Application) command {
	cmd := app.Command("overhead", "Measure what one sf-entry adds to a direct connection to an engine, and its memory per stream.")
	bin := cmd.Flag("bin", "Folder of the built programs.").Default("bin").String()
	out := cmd.Flag("out", "Folder for the results.").Default("out").String()
	return command{name: cmd.FullCommand(), action: func(ctx context.Context) error {
		dir, err := os.MkdirTemp("", "sf-bench-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		return bench.MeasureOverhead(ctx, bench.OverheadOptions{
			Bin: *bin, Dir: dir, Out: filepath.Clean(*out), Log: os.Stderr,
		})
	}}
}
