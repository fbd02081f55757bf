// Command sf-control is the control side of an instance.
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
