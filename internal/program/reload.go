package program

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchEvery is the time between looks at the settings file, which may change
// without a signal.
const watchEvery = 2 * time.Second

// reloads has the settings taken anew, on SIGHUP and when the file's time of
// change moves, until the context ends. Without Reload, SIGHUP is only logged:
// it must not end the process.
func (d Daemon) reloads(ctx context.Context, path string, log *slog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // for good: one that comes while the process stops must not end it
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	seen := changedAt(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("program: SIGHUP", "reloads", d.Reload != nil)
		case <-ticker.C:
			if changedAt(path).Equal(seen) {
				continue
			}
		}
		seen = changedAt(path)
		if d.Reload != nil {
			d.Reload(path, log)
		}
	}
}

// changedAt is when a file was changed; the zero time when that cannot be told,
// which counts as no change.
func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
