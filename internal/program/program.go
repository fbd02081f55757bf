// Package program is the common main function of the daemons: it parses the
// command line, loads the settings, sets up logs, traces and signal handling,
// and runs the daemon.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/internal/logging"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tracing"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitUnknown = 4
)

// flushTimeout bounds the export of the last spans at shutdown.
const flushTimeout = 2 * time.Second

// maxLogLinesPerSecond limits the log of a daemon: about ten lines for each
// request per second at the maximum load of one instance, see docs/OPERATIONS.md.
const maxLogLinesPerSecond = 500

// Common holds the settings that all daemons have.
type Common struct {
	Instance string
	Log      logging.Settings
	Trace    tracing.Settings
}

// Daemon describes a program that Main runs.
type Daemon struct {
	Name string
	Help string
	// SettingsVariable is an environment variable that may give the path of the
	// settings file instead of the flag; empty for none.
	SettingsVariable string
	// Settings holds the defaults; the settings file is loaded into it.
	Settings settings.Checker
	// Common returns the common part of Settings. It is called after they are
	// loaded.
	Common func() Common
	// Run runs the daemon until the context ends.
	Run func(ctx context.Context, log *slog.Logger) error
	// Reload reloads the settings file, on SIGHUP and when the file has changed;
	// nil if the daemon does not support it.
	Reload func(path string, log *slog.Logger)
}

// Main parses the command line, reads the settings and runs the daemon until
// SIGTERM or SIGINT. It returns the exit code.
func (d Daemon) Main(args []string) int {
	app := kingpin.New(d.Name, d.Help)
	app.Version(Version())
	app.HelpFlag.Short('h')
	flag := app.Flag("settings", "Settings file (TOML).").Short('s').Required()
	if d.SettingsVariable != "" {
		flag = flag.Envar(d.SettingsVariable)
	}
	path := flag.String()
	checkOnly := app.Flag("check-settings", "Check the settings file, report all findings, and end.").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, err)
		return ExitUsage
	}
	if err := settings.Load(*path, d.Settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	if *checkOnly {
		fmt.Printf("%s: no findings\n", *path)
		return ExitOK
	}
	return d.run(*path)
}

func (d Daemon) run(path string) int {
	common := d.Common()
	output := logging.NewBounded(os.Stdout, maxLogLinesPerSecond)
	defer output.Close()
	log := logging.New(common.Log, output, d.Name, common.Instance)
	slog.SetDefault(log) // libraries that use the default logger get the same limits
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go d.watchReloads(ctx, path, log)
	flush, err := tracing.Setup(ctx, common.Trace, d.Name, common.Instance)
	if err != nil {
		log.Error("program: tracing could not start", "error", err)
		return ExitFailed
	}
	err = d.Run(ctx, log)
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = flush(flushCtx) // export of spans is best effort
	if err != nil {
		log.Error("program: ended", "error", err)
		return ExitFailed
	}
	log.Info("program: ended")
	return ExitOK
}

// Version returns the module's version as recorded in the build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
