package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/quarantine"
)

// quarantinedError: the request's content or a part of its prompt is quarantined, so it must not be sent to any engine.
type quarantinedError struct {
	subject quarantine.Subject
}

func (e quarantinedError) Error() string { return "entry: " + e.subject.Kind() + " is quarantined" }

// crashWindow is how long an engine may have been generating the answer to a request that crashed it because of a part of
// its prompt. An engine that has been generating for longer has processed the prompt, which clears its parts.
const crashWindow = time.Second

// promptParts returns the parts of a prompt that crashes are counted against. Callers name no parts here, so a part is the
// beginning of the prompt, of 1, 2, 4, 8 and so on complete blocks. Beginnings of all numbers of blocks would be up to a
// thousand subjects for each answer; of a text that prompts share, at least half is covered this way.
func promptParts(model, prompt string) []quarantine.Subject {
	hashes := engine.BlockHashes(prompt, engine.BlockTokens, maxPrefixBlocks)
	var parts []quarantine.Subject
	for n := 1; n <= len(hashes); n *= 2 {
		parts = append(parts, quarantine.PartOf(model, strconv.FormatUint(hashes[n-1], 16)))
	}
	return parts
}

// subjects returns what crashes are counted against: the content and the parts of the prompt.
func (c *completion) subjects() []quarantine.Subject {
	return append([]quarantine.Subject{c.content}, c.parts...)
}

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

// blockedBy returns the subject of a request because of which no engine may receive the request. Once the quarantine of a
// part is over, one request at a time tries the part again.
func (c *quarantines) blockedBy(comp *completion) (quarantine.Subject, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.table.HasQuarantines() {
		return 0, false
	}
	now := bootclock.Now()
	for _, s := range comp.subjects() {
		if c.table.Quarantined(s, now) {
			return s, true
		}
	}
	for _, s := range comp.parts { // only a request that nothing blocks may try a part again
		if c.table.Blocks(s, comp.id, now) {
			return s, true
		}
	}
	return 0, false
}

// recordCrash records the crash of an engine that was serving a request with a subject. It returns whether the crash
// starts a quarantine of the subject, and how many crashes count against the subject.
func (c *quarantines) recordCrash(subject quarantine.Subject, boot string) (quarantined bool, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	c.table.Expire(now)
	for _, expired := range c.table.Expired(now) {
		c.table.Release(expired, now)
	}
	quarantined = c.table.RecordCrash(quarantine.Crash{Subject: subject, Upstream: uint32(xxhash.Sum64String(boot))}, now)
	return quarantined, c.table.Crashes(subject)
}

// recordServed records that subjects were served: a request with them was answered completely, or the parts of its prompt
// were processed.
func (c *quarantines) recordServed(subjects ...quarantine.Subject) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	for _, s := range subjects {
		c.table.RecordServed(s, now)
	}
}

// recordIfAlive clears the parts of the prompt once the engine has been generating the answer for crashWindow.
func (s *Server) recordIfAlive(g *generation) {
	if g.aliveRecorded || s.now()-g.begunAt < crashWindow {
		return
	}
	g.aliveRecorded = true
	s.quarantines.recordServed(g.comp.parts...)
}

// quarantineRefusal returns the refusal of a request with a quarantined subject. It has no Retry-After, so
// that the caller is not asked to repeat the request.
func quarantineRefusal(subject quarantine.Subject) error {
	if subject.IsPart() {
		return notRun("part_set_apart", "engines crashed under a part of this prompt; it is not sent on now", 0)
	}
	return notRun("content_set_apart", "engines ended while they had this request's content; it is not sent on now", 0)
}

// suspects returns the subjects of a request that may have crashed the engine that was serving it. The parts of its prompt
// are suspects only if the engine had not generated for long, and only at the first crash: the next ones say more about the
// request than about what it shares with others.
func (g *generation) suspects(now time.Duration) []quarantine.Subject {
	if g.comp.crashed || g.begunAt > 0 && now-g.begunAt >= crashWindow {
		return []quarantine.Subject{g.comp.content}
	}
	return g.comp.subjects()
}

// recordIfCrashed records a crash for the request's content, and for the parts of its prompt that may be the cause, if
// its stream broke because the engine crashed.
func (s *Server) recordIfCrashed(ctx context.Context, id, boot string, client engine.Engine, g *generation, err error) {
	if !errors.Is(err, engine.ErrBroken) {
		return
	}
	comp, suspects := g.comp, g.suspects(s.now())
	if !hasCrashed(ctx, client) {
		return
	}
	if boot == "" { // it crashed before it reported its boot id
		boot = "at " + s.now().Truncate(sameCrashWindow).String()
	}
	comp.crashed = true
	for _, subject := range suspects {
		quarantined, crashes := s.quarantines.recordCrash(subject, id+"@"+boot)
		if quarantined || !subject.IsPart() {
			s.log.Info("request: engine crashed", "request", comp.id, "engine", id, "boot", boot, "kind", subject.Kind(), "subject", subject, "crashes", crashes, "quarantined", quarantined)
		}
	}
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
