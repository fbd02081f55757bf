// Package program starts a daemon: settings, logs, traces and signals, the
// same for each of them.
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

// Exit codes of each program.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitUnknown = 4
)

// flushTimeout bounds the writing of the last spans.
const flushTimeout = 2 * time.Second

// linesPerSecond bounds the log of a daemon: some ten lines for each of the
// requests that one instance takes at the most, as docs/OPERATIONS.md reckons.
const linesPerSecond = 500

// Common are the settings that each daemon has.
type Common struct {
	Instance string
	Log      logging.Settings
	Trace    tracing.Settings
}

// Daemon is what Main starts.
type Daemon struct {
	Name string
	Help string
	// SettingsVariable is an environment variable that may name the settings
	// file instead of the flag; empty for none.
	SettingsVariable string
	// Settings holds the defaults and takes the file.
	Settings settings.Checker
	// Common returns the common part of Settings, once they are read.
	Common func() Common
	// Run works until the context ends.
	Run func(ctx context.Context, log *slog.Logger) error
	// Reload takes the settings file anew, on SIGHUP and when it has changed;
	// nil when the daemon cannot.
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
	output := logging.NewBounded(os.Stdout, linesPerSecond)
	defer output.Close()
	log := logging.New(common.Log, output, d.Name, common.Instance)
	slog.SetDefault(log) // libraries that log by themselves get the same bounds
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go d.reloads(ctx, path, log)
	flush, err := tracing.Setup(ctx, common.Trace, d.Name, common.Instance)
	if err != nil {
		log.Error("program: tracing could not start", "error", err)
		return ExitFailed
	}
	err = d.Run(ctx, log)
	ending, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = flush(ending) // spans are best effort
	if err != nil {
		log.Error("program: ended", "error", err)
		return ExitFailed
	}
	log.Info("program: ended")
	return ExitOK
}

// Version returns the module's version as the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
