package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/quarantine"
)

// errQuarantined: the request's content is quarantined, so it must not be sent to any engine.
var errQuarantined = errors.New("entry: content is quarantined")

// After a stream broke, the engine's status is probed until the result is conclusive: a response shows
// that the process is alive, a refused connection that it crashed. A machine that is slow or loses packets
// gives neither for a while. When an inconclusive probe counted as alive, one prompt crashed three or four
// of five engines (in 7 of 30 runs with six other busy processes on the machine).
const (
	// crashProbeTimeout bounds one probe. The machine of a crashed process refuses the connection at once.
	crashProbeTimeout = 200 * time.Millisecond
	// crashProbeInterval is the pause between two probes.
	crashProbeInterval = 50 * time.Millisecond
	// crashCheckTimeout bounds the wait for a conclusive probe. The request may wait this long before it is
	// sent to another engine. Callers have to tolerate such a delay anyway when an engine stops sending.
	crashCheckTimeout = 3 * time.Second
)

// sameCrashWindow is the time within which failures of an engine whose boot ID is unknown count as one
// crash, because a crash breaks all streams of the engine at once.
const sameCrashWindow = time.Second

// quarantines records the contents of requests during which engines crashed, as observed by this entry. It
// keeps a content that crashes engines from crashing all of them: a single request is sent to as many
// engines as it has attempts, and callers repeat it. With the quarantine, two of five engines crash
// instead of all.
type quarantines struct {
	mu    sync.Mutex // protects table
	table *quarantine.Table
}

func newQuarantines() *quarantines {
	return &quarantines{table: quarantine.NewTable(quarantine.DefaultSettings())}
}

// quarantined reports whether a content is quarantined.
func (c *quarantines) quarantined(content quarantine.Subject) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Quarantined(content, bootclock.Now())
}

// recordCrash records the crash of an engine that was serving a content. It returns whether the crash
// starts a quarantine of the content, and how many crashes count against the content.
func (c *quarantines) recordCrash(content quarantine.Subject, boot string) (quarantined bool, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	c.table.Expire(now)
	for _, expired := range c.table.Expired(now) {
		c.table.Release(expired, now)
	}
	quarantined = c.table.RecordCrash(quarantine.Crash{Subject: content, Upstream: uint32(xxhash.Sum64String(boot))}, now)
	return quarantined, c.table.Crashes(content)
}

// recordServed records that a request with this content was answered completely.
func (c *quarantines) recordServed(content quarantine.Subject) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordServed(content, bootclock.Now())
}

// quarantineRefusal returns the refusal of a request with a quarantined content. It has no Retry-After, so
// that the caller is not asked to repeat the request.
func quarantineRefusal() error {
	return notRun("content_set_apart", "engines ended while they had this request's content; it is not sent on now", 0)
}

// recordIfCrashed records a crash for the request's content if its stream broke because the engine
// crashed.
func (s *Server) recordIfCrashed(ctx context.Context, id, boot string, client engine.Engine, comp *completion, err error) {
	if !errors.Is(err, engine.ErrBroken) {
		return
	}
	if !hasCrashed(ctx, client) {
		return
	}
	if boot == "" { // it crashed before it reported its boot id
		boot = "at " + s.now().Truncate(sameCrashWindow).String()
	}
	quarantined, crashes := s.quarantines.recordCrash(comp.content, id+"@"+boot)
	s.log.Info("request: engine crashed", "request", comp.id, "engine", id, "boot", boot, "content", comp.content, "ends", crashes, "apart", quarantined)
}

// hasCrashed reports whether an engine's process has crashed. If no probe is conclusive within
// crashCheckTimeout, the process is treated as alive.
func hasCrashed(ctx context.Context, client engine.Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	for {
		err := probeStatus(ctx, client)
		if errors.Is(err, engine.ErrUnreachable) {
			return true
		}
		conclusive := !errors.Is(err, engine.ErrBroken)
		if conclusive || !pause.For(ctx, crashProbeInterval) {
			return false
		}
	}
}

// probeStatus requests an engine's status once. Errors: engine.ErrUnreachable if its process has crashed,
// engine.ErrBroken if the result is inconclusive.
func probeStatus(ctx context.Context, client engine.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	_, err := client.Status(ctx)
	return err
}
