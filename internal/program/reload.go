package program

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// fileCheckInterval is the time between checks of the settings file, which may change
// without a signal.
const fileCheckInterval = 2 * time.Second

// watchReloads calls Reload on SIGHUP and when the file's modification time
// changes, until the context ends. Without Reload, SIGHUP is only logged, since
// it must not terminate the process.
func (d Daemon) watchReloads(ctx context.Context, path string, log *slog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // never reset: a SIGHUP during shutdown must not kill the process
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	seen := modTimeOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("program: SIGHUP", "reloads", d.Reload != nil)
		case <-ticker.C:
			if modTimeOf(path).Equal(seen) {
				continue
			}
		}
		seen = modTimeOf(path)
		if d.Reload != nil {
			d.Reload(path, log)
		}
	}
}

// modTimeOf returns a file's modification time. It returns the zero time if the file
// cannot be examined.
func modTimeOf(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
