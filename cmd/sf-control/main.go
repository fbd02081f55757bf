// Command sf-control runs the control plane of an instance: leases, plans and
// the distribution of the configuration.
package main

import (
	"context"
	"log/slog"
	"os"

	"sassafrasfield/internal/control"
	"sassafrasfield/internal/program"
)

func main() {
	s := control.DefaultSettings()
	daemon := program.Daemon{
		Name: "sf-control", Help: "Hold leases, carry out plans, spread configuration.", Settings: s,
		Common: func() program.Common {
			return program.Common{Instance: s.Instance, Log: s.Log, Trace: s.Trace}
		},
		Run: func(ctx context.Context, log *slog.Logger) error {
			daemon, err := control.New(s, log)
			if err != nil {
				return err
			}
			return daemon.Run(ctx)
		},
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
