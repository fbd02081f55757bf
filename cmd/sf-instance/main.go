// Command sf-instance is all of an instance on the users' platform: the data
// path, and the duties that one instance at a time has.
package main

import (
	"context"
	"log/slog"
	"os"

	"sassafrasfield/internal/program"
	"sassafrasfield/platform"
)

func main() {
	s := platform.DefaultSettings()
	daemon := program.Daemon{
		Name: "sf-instance", Help: "Serve callers on the users' platform.", Settings: s,
		SettingsVariable: platform.SettingsVariable,
		Common: func() program.Common {
			return program.Common{Instance: s.Instance, Log: s.Log}
		},
		Run: func(ctx context.Context, log *slog.Logger) error {
			return platform.NewInstance(s, log).Run(ctx)
		},
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
