package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash tells that an upstream ended while it had a request.
type Crash struct {
	Content Content
	// Upstream is a hash of the upstream's incarnation: one that starts again is another.
	Upstream uint32
}

// Settings of a Table.
type Settings struct {
	// Crashes of upstreams under a content have it set apart. One is chance: an engine that
	// ended had up to 48 requests. Two may be where many upstreams crash at once: 4 and 36
	// of some 12,220 requests in two plays of a day on which 0.3 to 0.4 of the engines
	// crashed four times met two.
	Crashes int
	// Durations are for how long a content is set apart: the first time, and each time again
	// that one more upstream ends under it once it is let through. The first is short, for
	// those that were there by chance: where all callers ask for the same, it is on each
	// upstream that another content ends. The second holds off whoever comes again and
	// again, the last is about as long as upstreams keep their software.
	Durations []time.Duration
	// CrashTTL is for how long an end counts, and ForgetAfter for how long after its term it
	// is known that a content was set apart.
	CrashTTL, ForgetAfter time.Duration
	// ServedTTL is for how long it counts that a content was served: until then no end counts
	// against it. Where many ask for the same, it is on any upstream that ends.
	ServedTTL time.Duration
	// MaxServed bounds the contents of which that is remembered, in each Served.
	MaxServed int
	// MaxContents bounds those with ends that are remembered, MaxQuarantined those that were set
	// apart. The oldest yield.
	MaxContents, MaxQuarantined int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Crashes:     2,
		Durations:   []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour},
		CrashTTL:    10 * time.Minute, // callers that come back do so within seconds
		ForgetAfter: 24 * time.Hour,
		ServedTTL:   time.Minute, // what is asked for less often is hardly on two that end
		// 130 requests a second, ten times what an instance gets; 16 bytes each
		MaxServed:      8192,
		MaxContents:    4096, // 80 engines that end at once with 48 requests each
		MaxQuarantined: 1000, // rows of some 100 bytes; a start reads two pages of them
	}
}

// Table is what an instance knows of contents. It is not safe for concurrent use.
type Table struct {
	settings Settings
	records  map[Content]*record
	apart    map[Content]apart
	served   recent
	tell     telling
}

// record is what is known of a content.
type record struct {
	// ends are those that count; served are those from before the content was served.
	ends, served map[uint32]bool
	newest       time.Duration
	// seen: this instance saw one of the ends itself.
	seen bool
}

// apart is a content that was set apart so many times, the last one at a time.
type apart struct {
	times int
	since time.Duration
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: map[Content]*record{}, apart: map[Content]apart{}, served: newRecent(s.ServedTTL, s.MaxServed), tell: newTelling()}
}

// Empty tells that no content is known to have ended an upstream, so that none needs to be
// looked for.
func (t *Table) Empty() bool { return len(t.records) == 0 && len(t.apart) == 0 }

// term is for how long a content is set apart that is so for the nth time.
func (t *Table) term(times int) time.Duration {
	return t.settings.Durations[min(times, len(t.settings.Durations))-1]
}

// Quarantined tells whether no upstream may get a content.
func (t *Table) Quarantined(c Content, now time.Duration) bool {
	a, ok := t.apart[c]
	return ok && now-a.since < t.term(a.times)
}

// TimesQuarantined is how often a content was set apart.
func (t *Table) TimesQuarantined(c Content) int { return t.apart[c].times }

// CountQuarantined is how many contents are set apart.
func (t *Table) CountQuarantined(now time.Duration) int {
	n := 0
	for c := range t.apart {
		if t.Quarantined(c, now) {
			n++
		}
	}
	return n
}

// Crashes counts the ends that count against a content.
func (t *Table) Crashes(c Content) int {
	r, ok := t.records[c]
	if !ok {
		return 0
	}
	return len(r.ends)
}

// SawCrash tells whether this instance saw an end under a content itself.
func (t *Table) SawCrash(c Content) bool {
	r, ok := t.records[c]
	return ok && r.seen
}

// RecordCrash takes an end that this instance saw, and tells whether the content is set apart
// by it.
func (t *Table) RecordCrash(e Crash, now time.Duration) bool {
	news := t.add(e, now)
	if news {
		t.tell.own(e, now)
	}
	t.records[e.Content].seen = true
	return news && t.decide(e.Content, now)
}

// ReceiveCrash takes an end that another instance told of, of the same zone or not, and tells
// whether the content is set apart by it.
func (t *Table) ReceiveCrash(e Crash, beside bool, now time.Duration) bool {
	news := t.add(e, now)
	if news {
		t.tell.heard(e, beside, now)
	}
	return news && t.decide(e.Content, now)
}

// add takes an end, and tells whether it is news.
func (t *Table) add(e Crash, now time.Duration) bool {
	r, ok := t.records[e.Content]
	if !ok {
		t.makeRoom(now)
		r = &record{ends: map[uint32]bool{}, served: map[uint32]bool{}}
		t.records[e.Content] = r
	}
	if r.ends[e.Upstream] || r.served[e.Upstream] {
		return false
	}
	r.ends[e.Upstream] = true
	r.newest = now
	return true
}

// decide sets a content apart by an end that is news: when enough count against it, or it
// was set apart before and is let through again.
func (t *Table) decide(c Content, now time.Duration) bool {
	if t.served.has(c, now) {
		t.clear(c)
		return false
	}
	if t.Quarantined(c, now) || t.TimesQuarantined(c) == 0 && t.Crashes(c) < t.settings.Crashes {
		return false
	}
	t.apart[c] = apart{times: t.TimesQuarantined(c) + 1, since: now}
	return true
}

// RecordServed notes that a content was answered whole: the ends before it were others' fault.
// It tells whether the content was set apart for them, which is over.
func (t *Table) RecordServed(c Content, now time.Duration) bool {
	t.served.add(c, now)
	t.clear(c)
	_, was := t.apart[c]
	delete(t.apart, c)
	return was
}

// clear has the ends under a content so far count no more.
func (t *Table) clear(c Content) {
	if r, ok := t.records[c]; ok {
		maps.Copy(r.served, r.ends)
		clear(r.ends)
	}
}

// Quarantine takes the decision of other instances, that a content is set apart for the nth
// time. It returns false when that is wrong: the content was served here lately.
func (t *Table) Quarantine(c Content, times int, now time.Duration) bool {
	if t.served.has(c, now) {
		return false
	}
	if times > t.TimesQuarantined(c) {
		t.apart[c] = apart{times: times, since: now}
	}
	return true
}

// Release takes a content back; what ended under it is forgotten.
func (t *Table) Release(c Content) {
	delete(t.apart, c)
	delete(t.records, c)
}

// Expired lists the contents of which it need not be known any more that they were set
// apart, and the oldest of those that are too many.
func (t *Table) Expired(now time.Duration) []Content {
	list := slices.SortedFunc(maps.Keys(t.apart), func(a, b Content) int {
		return cmp.Or(cmp.Compare(t.apart[a].since, t.apart[b].since), cmp.Compare(a, b))
	})
	tooMany := max(0, len(list)-t.settings.MaxQuarantined)
	lapsed := list[:tooMany:tooMany]
	for _, c := range list[tooMany:] {
		if a := t.apart[c]; now-a.since > t.term(a.times)+t.settings.ForgetAfter {
			lapsed = append(lapsed, c)
		}
	}
	return lapsed
}

// makeRoom forgets what lapsed, and the oldest record where there are too many.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.records) < t.settings.MaxContents {
		return
	}
	t.forgetOld(now)
	if len(t.records) < t.settings.MaxContents {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.records)), func(a, b Content) int {
		return cmp.Or(cmp.Compare(t.records[a].newest, t.records[b].newest), cmp.Compare(a, b))
	})
	delete(t.records, oldest)
}

// forgetOld forgets the records whose ends count no longer.
func (t *Table) forgetOld(now time.Duration) {
	maps.DeleteFunc(t.records, func(_ Content, r *record) bool { return now-r.newest > t.settings.CrashTTL })
}

// Expire forgets the ends that count no longer.
func (t *Table) Expire(now time.Duration) {
	t.forgetOld(now)
	t.tell.lapse(now)
}
