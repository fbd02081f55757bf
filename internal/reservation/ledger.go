package reservation

import "time"

// Candidate is an engine that can process a prompt.
type Candidate struct {
	Engine uint32
	// Busy is the predicted time to process the prompt on the engine, at the usual speed.
	Busy time.Duration
	// Extra is the cost of choosing the engine in addition to its queue and the work. It is used only to
	// compare candidates.
	Extra time.Duration
	// Copy is the price of another copy of the prompt's shared part in the engine's cache; 0 for none. Reserve
	// bounds it as long as an engine is ready soon.
	Copy time.Duration
}

// Request asks for an engine for a prompt.
type Request struct {
	// ID identifies one sending of a prompt among all of the last seconds. A prompt that is sent again, or that was
	// cancelled, needs another one: the same ID gives the same grant and records nothing, even after Done.
	ID         uint64
	Candidates []Candidate
}

// Grant is the engine that is reserved for a prompt.
type Grant struct {
	Engine uint32
	// Wait is the predicted time until the engine begins the prompt.
	Wait time.Duration
	// Busy is the predicted time to process the prompt, at the usual speed.
	Busy time.Duration
	// Speed is the time that the engine needs relative to the predicted one: 2 for an engine that takes twice
	// as long.
	Speed float64
}

const (
	// copyShare and copyPerWait bound the price of a copy: to the share of the prompt's work, plus a multiple of the
	// shortest wait of the candidates. While an engine is idle, a copy costs at most the work to process evicted
	// parts again, and there is time for it. Without the bound prompts queue at the engines that have their part
	// cached while others are idle. When all engines have a queue, each copy costs throughput. With a share of 0.75
	// the waits on even engines miss the aim in package model, with 0.25 engines process more parts again.
	copyShare   = 0.35
	copyPerWait = 10
	// maxEngines bounds the engines of a ledger. The largest fleet that the project is designed for has 1,900.
	maxEngines = 4096
	// maxEntries bounds the prompts of a ledger: 10 s of 1,300 prompts per second, more than twice the time
	// that callers of prompts wait.
	maxEntries = 13000
	// maxAge is the time after which an entry without Done ends. Deadlines of prompts are 3 to 6 s.
	maxAge = 10 * time.Second
)

// entry is a prompt that was placed on an engine and isn't known to be processed.
type entry struct {
	id       uint64
	grant    Grant
	placedAt time.Duration
	// overtaken counts the prompts that were placed on the engine later and processed earlier.
	overtaken int
	ended     bool
}

// Ledger holds the prompts in progress on the engines of a zone.
type Ledger struct {
	engines map[uint32]*engine
	entries map[uint64]*entry
	// byAge holds the entries in the order of their placement, including ended ones.
	byAge []*entry
	ended endedIDs
	// expected is reused for the candidates of each choice.
	expected []expectation
	// usualSpeed is set if all engines are taken to have the usual speed.
	usualSpeed bool
}

// NewLedger returns a ledger without entries, in which all engines have the usual speed.
func NewLedger() *Ledger {
	return &Ledger{engines: map[uint32]*engine{}, entries: map[uint64]*entry{}, ended: newEndedIDs()}
}

// NewLedgerWithoutSpeeds returns a ledger that learns no speeds: all engines are taken to have the usual one. It
// is used to compare.
func NewLedgerWithoutSpeeds() *Ledger {
	l := NewLedger()
	l.usualSpeed = true
	return l
}

// Reserve chooses the candidate that is expected to have processed the prompt soonest, including its extra
// cost, and records the prompt there. It returns false without candidates. The same ID again returns the same
// grant, and doesn't record the prompt again.
func (l *Ledger) Reserve(r Request, now time.Duration) (Grant, bool) {
	if e, ok := l.entries[r.ID]; ok {
		return e.grant, true
	}
	if grant, ok := l.ended.grant(r.ID); ok && grant.Speed > 0 {
		return grant, true
	}
	c, ok := l.best(r.Candidates, now)
	if !ok {
		return Grant{}, false
	}
	return l.place(r.ID, c, now), true
}

// Record adds a prompt that was sent without a reservation. A prompt that is recorded on another engine is moved.
func (l *Ledger) Record(id uint64, c Candidate, now time.Duration) {
	if e, ok := l.entries[id]; ok {
		if e.grant.Engine == c.Engine {
			return
		}
		l.drop(e)
	}
	l.place(id, c, now)
}

// Done ends the entry of a prompt that the engine has processed or that has failed. It learns the engine's
// speed from a processed prompt. It is idempotent, and also holds if it precedes Reserve or Record.
func (l *Ledger) Done(id uint64, engine uint32, processed bool, now time.Duration) {
	e, ok := l.entries[id]
	if !ok {
		if _, known := l.ended.grant(id); !known {
			l.ended.add(id, Grant{Engine: engine})
		}
		return
	}
	var lost []*entry
	if on := l.engines[engine]; on != nil && e.grant.Engine == engine {
		lost = on.done(e, processed, now)
	}
	l.drop(e)
	for _, e := range lost {
		l.drop(e)
	}
	l.ended.add(id, e.grant)
}

// Wait returns the predicted time until an engine has processed all its prompts; 0 for an unknown engine.
func (l *Ledger) Wait(engine uint32, now time.Duration) time.Duration {
	wait, _ := l.expect(engine, now)
	return wait
}

// best returns the candidate with the lowest expected time. Of equal ones it returns the one that has been idle
// for the longest, which spreads the prompts, the cached parts and the observations of speeds.
func (l *Ledger) best(candidates []Candidate, now time.Duration) (best Candidate, ok bool) {
	expected := l.expectAll(candidates, now)
	shortest := shortestWait(expected)
	var lowest, bestFree time.Duration
	for i, c := range candidates {
		on := expected[i]
		cost := on.wait + scale(c.Busy+CopyCost(c.Copy, c.Busy, shortest), on.speed) + c.Extra
		free := l.freeSince(c.Engine)
		if !ok || cost < lowest || cost == lowest && free < bestFree {
			best, lowest, bestFree, ok = c, cost, free, true
		}
	}
	return best, ok
}

// expectation is the predicted waiting time and the speed of an engine.
type expectation struct {
	wait  time.Duration
	speed float64
}

// expectAll returns what to expect of each candidate. The result is valid until the next call.
func (l *Ledger) expectAll(candidates []Candidate, now time.Duration) []expectation {
	l.expected = l.expected[:0]
	for _, c := range candidates {
		wait, speed := l.expect(c.Engine, now)
		l.expected = append(l.expected, expectation{wait: wait, speed: speed})
	}
	return l.expected
}

// shortestWait returns the shortest of the waiting times; 0 for none.
func shortestWait(expected []expectation) time.Duration {
	var shortest time.Duration
	for i, e := range expected {
		if i == 0 || e.wait < shortest {
			shortest = e.wait
		}
	}
	return shortest
}

// CopyCost returns the bounded price of another copy on an engine that needs a time for the prompt, where the next
// engine is ready after the shortest wait.
func CopyCost(price, busy, shortestWait time.Duration) time.Duration {
	return min(price, scale(busy, copyShare)+copyPerWait*shortestWait)
}

// expect returns the predicted waiting time and the speed of an engine.
func (l *Ledger) expect(id uint32, now time.Duration) (wait time.Duration, speed float64) {
	on := l.engines[id]
	if on == nil {
		return 0, 1
	}
	for _, e := range on.expired(now) {
		l.drop(e)
	}
	return on.wait(now)
}

func (l *Ledger) freeSince(id uint32) time.Duration {
	if on := l.engines[id]; on != nil {
		return on.freeAt
	}
	return 0
}

// place records a prompt on an engine, unless the prompt has already ended.
func (l *Ledger) place(id uint64, c Candidate, now time.Duration) Grant {
	wait, speed := l.expect(c.Engine, now)
	grant := Grant{Engine: c.Engine, Wait: wait, Busy: c.Busy, Speed: speed}
	if _, ok := l.ended.grant(id); ok {
		return grant
	}
	l.expireOld(now)
	e := &entry{id: id, grant: grant, placedAt: now}
	l.engine(c.Engine, now).add(e, now)
	l.entries[id] = e
	l.byAge = append(l.byAge, e)
	return grant
}

// engine returns an engine, which it adds if it is unknown. It forgets the one unused for the longest if there
// are too many.
func (l *Ledger) engine(id uint32, now time.Duration) *engine {
	if on := l.engines[id]; on != nil {
		return on
	}
	if len(l.engines) >= maxEngines {
		l.forgetEngine()
	}
	on := newEngine(now)
	on.speed.usual = l.usualSpeed
	l.engines[id] = on
	return on
}

func (l *Ledger) forgetEngine() {
	var oldest uint32
	var found *engine
	for id, on := range l.engines {
		if found == nil || on.usedAt < found.usedAt || on.usedAt == found.usedAt && id < oldest {
			oldest, found = id, on
		}
	}
	for _, e := range append([]*entry(nil), found.entries...) {
		l.drop(e)
	}
	delete(l.engines, oldest)
}

// expireOld drops the entries that are too old, and the oldest if there is no room for another.
func (l *Ledger) expireOld(now time.Duration) {
	for len(l.byAge) > 0 {
		e := l.byAge[0]
		if !e.ended && now-e.placedAt < maxAge && len(l.byAge) < maxEntries {
			return
		}
		l.byAge[0] = nil
		l.byAge = l.byAge[1:]
		if !e.ended {
			l.drop(e)
		}
	}
}

// drop removes an entry.
func (l *Ledger) drop(e *entry) {
	e.ended = true
	delete(l.entries, e.id)
	if on := l.engines[e.grant.Engine]; on != nil {
		on.remove(e)
	}
}
