// Command sf-entry runs the data path of an instance: it accepts requests of
// callers and routes them to upstreams.
package main

import (
	"context"
	"log/slog"
	"os"

	"sassafrasfield/internal/entry"
	"sassafrasfield/internal/program"
)

func main() {
	s := entry.DefaultSettings()
	daemon := program.Daemon{
		Name: "sf-entry", Help: "Serve callers: admit, route, stream, resume.", Settings: s,
		Common: func() program.Common {
			return program.Common{Instance: s.Instance, Log: s.Log, Trace: s.Trace}
		},
		Run: func(ctx context.Context, log *slog.Logger) error { return entry.New(s, log).Run(ctx) },
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
