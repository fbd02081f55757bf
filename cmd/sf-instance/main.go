// Command sf-instance runs an instance on the users' platform in one process: the
// data path, and the duties that one instance at a time performs.
package main

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"

	"sassafrasfield/internal/instance"
	"sassafrasfield/internal/program"
	"sassafrasfield/platform"
)

func main() {
	s := platform.DefaultSettings()
	var running atomic.Pointer[instance.Instance]
	daemon := program.Daemon{
		Name: "sf-instance", Help: "Serve callers on the users' platform.", Settings: s,
		SettingsVariable: platform.SettingsVariable,
		Common: func() program.Common {
			return program.Common{Instance: s.Instance, Log: s.Log}
		},
		Run: func(ctx context.Context, log *slog.Logger) error {
			in := platform.NewInstance(s, log)
			running.Store(in)
			return in.Run(ctx)
		},
		Reload: func(path string, log *slog.Logger) {
			if in := running.Load(); in != nil {
				platform.Reload(in, path, log)
			}
		},
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
