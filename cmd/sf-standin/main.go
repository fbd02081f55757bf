// Command sf-standin stands in for the platform, an engine or a plain service
// in tests, load runs and the demo.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/standin"
)

func main() {
	app := kingpin.New("sf-standin", "Stand in for the platform, an engine or a plain service.")
	listen := app.Flag("listen", "Address to listen on.").Required().String()

	platformCmd := app.Command("platform", "The platform's service.")
	weightRate := platformCmd.Flag("weight-rate", "Weight store's bytes a second.").Default("1e9").Float64()

	engineCmd := app.Command("engine", "A model engine.")
	options := engineFlags(engineCmd)

	serviceCmd := app.Command("service", "A plain service.")
	serviceID := serviceCmd.Flag("id", "Name.").Required().String()

	var handler http.Handler
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case platformCmd.FullCommand():
		handler = standin.NewPlatform(*weightRate).Handler()
	case engineCmd.FullCommand():
		handler = standin.NewEngine(options()).Handler()
	case serviceCmd.FullCommand():
		handler = standin.NewService(*serviceID).Handler()
	}
	server := &http.Server{Addr: *listen, Handler: standin.RecordTraces(handler), ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "sf-standin:", err)
		os.Exit(1)
	}
}

// engineFlags adds the flags of an engine; call the result after parsing.
func engineFlags(cmd *kingpin.CmdClause) func() standin.EngineOptions {
	id := cmd.Flag("id", "Name.").Required().String()
	model := cmd.Flag("model", "Model loaded at start.").String()
	version := cmd.Flag("model-version", "Version loaded at start.").String()
	adapters := cmd.Flag("adapter", "Adapter loaded at start.").Strings()
	role := cmd.Flag("role", "Role at start.").Default("mixed").String()
	fencing := cmd.Flag("fencing", "Refuse or ignore old fencing numbers.").Default("refuse").Enum("refuse", "ignore")
	prefill := cmd.Flag("prefill-rate", "Prompt tokens a second.").Default("8000").Float64()
	decode := cmd.Flag("decode-rate", "Tokens a second of one stream.").Default("50").Float64()
	running := cmd.Flag("max-running", "Streams in the batch.").Default("32").Int()
	blocks := cmd.Flag("kv-blocks", "Pieces of KV memory.").Default("4000").Int()
	blockTokens := cmd.Flag("block-tokens", "Tokens in a piece.").Default("16").Int()
	change := cmd.Flag("change-time", "Time of a disruptive order.").Default("2s").Duration()
	load := cmd.Flag("load-time", "Time to load adapters.").Default("500ms").Duration()
	return func() standin.EngineOptions {
		return standin.EngineOptions{
			ID:      *id,
			Initial: config.EngineState{Model: *model, Version: *version, Adapters: *adapters, Role: config.Role(*role)},
			Fencing: config.Fencing(*fencing), PrefillRate: *prefill, DecodeRate: *decode,
			MaxRunning: *running, KVBlocks: *blocks, BlockTokens: *blockTokens,
			ChangeTime: *change, LoadTime: *load,
		}
	}
}
