// Command sf-load offers an open-loop load to entries and prints what callers
// saw as JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/internal/loadgen"
)

func main() {
	var options loadgen.Options
	var phase loadgen.Profile
	app := kingpin.New("sf-load", "Offer an open-loop load to entries.")
	app.Flag("target", "Entry (host:port); repeat for more.").Required().StringsVar(&options.Targets)
	app.Flag("model", "Model.").Required().StringVar(&options.Model)
	app.Flag("key", "API key.").Required().StringVar(&options.Key)
	app.Flag("seed", "Seed.").Default("1").Uint64Var(&options.Seed)
	app.Flag("prefixes", "Shared prompt prefixes.").Default("8").IntVar(&options.Prefixes)
	app.Flag("first-token", "Bound on the first token.").Default("450ms").DurationVar(&options.FirstTokenWithin)
	app.Flag("token", "Bound on the mean time between tokens.").Default("40ms").DurationVar(&options.TokenWithin)
	app.Flag("duration", "How long.").Default("10s").DurationVar(&phase.Duration)
	app.Flag("rate", "Requests a second.").Default("10").Float64Var(&phase.Rate)
	app.Flag("prompt", "Mean prompt tokens.").Default("500").IntVar(&phase.PromptTokens)
	app.Flag("answer", "Mean answer tokens.").Default("50").IntVar(&phase.AnswerTokens)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	options.Phases = []loadgen.Profile{phase}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, phase.Duration+time.Minute)
	defer cancel()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(loadgen.Run(ctx, options)); err != nil {
		fmt.Fprintln(os.Stderr, "sf-load:", err)
		os.Exit(1)
	}
}
