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

// errSetApart: no engine may get the request.
var errSetApart = errors.New("entry: engines ended under its content")

// The question whether an engine's process has ended is asked until there is a word on it:
// an answer says that it lives, a refused connection that it ended. A machine that is slow
// or loses packets gives neither for a while, and a guard that took this for innocence let
// one prompt end three or four of five engines (7 of 30 runs beside six busy processes).
const (
	// endedTimeout bounds one question: the machine of an ended process refuses at once.
	endedTimeout = 200 * time.Millisecond
	// endedAgain is the pause between two questions.
	endedAgain = 50 * time.Millisecond
	// endedWithin bounds the wait for a word; the request waits as long before another
	// engine gets it, which callers whose engine fell silent bear anyway.
	endedWithin = 3 * time.Second
)

// sameEnd is the time in which ends of an engine whose boot is not known count as one:
// all that it has ends with it.
const sameEnd = time.Second

// contents are those of the requests under which engines ended, as this entry saw it. It
// keeps a prompt that ends its engines from ending all: one request alone is sent to as
// many as it has attempts, and callers ask again. Of five engines, two end and not all.
type contents struct {
	mu    sync.Mutex // protects table
	table *quarantine.Table
}

func newContents() *contents {
	return &contents{table: quarantine.NewTable(quarantine.DefaultSettings())}
}

// apart tells whether no engine may get a content.
func (c *contents) apart(content quarantine.Content) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Quarantined(content, bootclock.Now())
}

// ended counts the end of an engine's boot against a content.
func (c *contents) ended(content quarantine.Content, boot string) (apart bool, ends int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	c.table.Expire(now)
	for _, lapsed := range c.table.Expired(now) {
		c.table.Release(lapsed)
	}
	apart = c.table.RecordCrash(quarantine.Crash{Content: content, Upstream: uint32(xxhash.Sum64String(boot))}, now)
	return apart, c.table.Crashes(content)
}

// served notes that a content was answered whole.
func (c *contents) served(content quarantine.Content) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordServed(content, bootclock.Now())
}

// setApart is the refusal of a request that no engine may get. Its caller is not told to
// come back.
func setApart() error {
	return notRun("content_set_apart", "engines ended while they had this request's content; it is not sent on now", 0)
}

// noteEnd counts a broken stream against its content if its engine has ended.
func (s *Server) noteEnd(ctx context.Context, id, boot string, client engine.Engine, comp *completion, err error) {
	if !errors.Is(err, engine.ErrBroken) {
		return
	}
	if !hasEnded(ctx, client) {
		return
	}
	if boot == "" { // it ended before it told
		boot = "at " + s.now().Truncate(sameEnd).String()
	}
	apart, ends := s.contents.ended(comp.content, id+"@"+boot)
	s.log.Info("request: engine ended", "request", comp.id, "engine", id, "boot", boot, "content", comp.content, "ends", ends, "apart", apart)
}

// hasEnded finds out whether an engine's process has ended; without a word within
// endedWithin it counts as living.
func hasEnded(ctx context.Context, client engine.Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, endedWithin)
	defer cancel()
	for {
		err := askStatus(ctx, client)
		if errors.Is(err, engine.ErrUnreachable) {
			return true
		}
		answered := !errors.Is(err, engine.ErrBroken)
		if answered || !pause.For(ctx, endedAgain) {
			return false
		}
	}
}

// askStatus asks an engine once. Errors: engine.ErrUnreachable when its process has ended,
// engine.ErrBroken when there is no word on it.
func askStatus(ctx context.Context, client engine.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	_, err := client.Status(ctx)
	return err
}
