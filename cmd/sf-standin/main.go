// Command sf-standin simulates the platform, engines or a plain service for
// tests, load runs and the demo.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/testservers"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "sf-standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	app := kingpin.New("sf-standin", "Stand in for the platform, engines or a plain service.")
	listen := app.Flag("listen", "Address to listen on.").Required().String()

	platformCmd := app.Command("platform", "The platform's service.")
	weightRate := platformCmd.Flag("weight-rate", "Weight store's bytes a second.").Default("1e9").Float64()

	engineCmd := app.Command("engine", "A model engine.")
	engineID := engineCmd.Flag("id", "Name.").Required().String()
	options := engineFlags(engineCmd)

	enginesCmd := app.Command("engines", "Several model engines in one process, on ports that follow each other.")
	ids := enginesCmd.Flag("id", "Name; repeat for more.").Required().Strings()
	manyOptions := engineFlags(enginesCmd)

	serviceCmd := app.Command("service", "A plain service.")
	serviceID := serviceCmd.Flag("id", "Name.").Required().String()

	switch kingpin.MustParse(app.Parse(args)) {
	case platformCmd.FullCommand():
		return serve(*listen, testservers.NewPlatform(*weightRate).Handler())
	case engineCmd.FullCommand():
		return serve(*listen, testservers.NewEngine(options(*engineID)).Handler())
	case enginesCmd.FullCommand():
		return testservers.ServeEngines(*listen, *ids, manyOptions)
	default:
		return serve(*listen, testservers.NewService(*serviceID).Handler())
	}
}

func serve(address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: testservers.RecordTraces(handler), ReadHeaderTimeout: 10 * time.Second}
	return server.ListenAndServe()
}

// engineFlags adds the flags of an engine. The returned function builds the
// options from the flags and must be called after parsing.
func engineFlags(cmd *kingpin.CmdClause) func(id string) testservers.EngineOptions {
	model := cmd.Flag("model", "Model loaded at start.").String()
	version := cmd.Flag("model-version", "Version loaded at start.").String()
	adapters := cmd.Flag("adapter", "Adapter loaded at start.").Strings()
	role := cmd.Flag("role", "Role at start.").Default("mixed").String()
	fencing := cmd.Flag("fencing", "Refuse or ignore old fencing numbers.").Default("refuse").Enum("refuse", "ignore")
	prefillRate := cmd.Flag("prefill-rate", "Prompt tokens a second.").Default("8000").Float64()
	prefillBudget := cmd.Flag("prefill-budget", "Prompt tokens in one step of the batch.").Default("512").Int()
	decodeRate := cmd.Flag("decode-rate", "Tokens a second of one stream alone in the batch.").Default("50").Float64()
	stepPerStream := cmd.Flag("step-per-stream", "What each further stream adds to a step.").Default("200us").Duration()
	maxRunning := cmd.Flag("max-running", "Streams in the batch.").Default("32").Int()
	kvBlocks := cmd.Flag("kv-blocks", "Pieces of KV memory.").Default("4000").Int()
	blockTokens := cmd.Flag("block-tokens", "Tokens in a piece.").Default("16").Int()
	reportLag := cmd.Flag("report-lag", "Age of load reports.").Default("0s").Duration()
	kvRate := cmd.Flag("kv-rate", "Tokens of KV cache that another engine reads a second.").Default("200000").Float64()
	changeTime := cmd.Flag("change-time", "Time of a disruptive order.").Default("2s").Duration()
	loadTime := cmd.Flag("load-time", "Time to load adapters.").Default("500ms").Duration()
	return func(id string) testservers.EngineOptions {
		return testservers.EngineOptions{
			ID:      id,
			Initial: config.EngineState{Model: *model, Version: *version, Adapters: *adapters, Role: config.Role(*role)},
			Fencing: config.Fencing(*fencing), PrefillRate: *prefillRate, PrefillBudget: *prefillBudget,
			DecodeRate: *decodeRate, StepPerStream: *stepPerStream,
			MaxRunning: *maxRunning, KVBlocks: *kvBlocks, BlockTokens: *blockTokens,
			ReportLag: *reportLag, ChangeTime: *changeTime, LoadTime: *loadTime, KVRate: *kvRate,
		}
	}
}
