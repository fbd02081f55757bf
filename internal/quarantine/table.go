package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash is the crash of an upstream while it was serving a content.
type Crash struct {
	Content Content
	// Upstream is a hash of the upstream's incarnation: it differs after a restart.
	Upstream uint32
	// Times is the number of the quarantine that the crash started at the instance that observed it; 0 if it
	// started none.
	Times int
}

// Settings of a Table.
type Settings struct {
	// Crashes is how many upstreams must crash while serving a content before it is quarantined. One is not
	// enough: an engine that crashed was serving up to 48 requests, most of which did not cause the crash.
	// Two can be a coincidence where many upstreams crash at once: in two simulated days on which 0.3 to 0.4
	// of the engines crashed four times, 4 and 36 of some 12,220 requests were interrupted by two crashes.
	Crashes int
	// Durations are the durations of a content's quarantines: of the first one, and of each later one, which
	// begins when one more upstream crashes while serving the content after the previous quarantine. The last
	// duration is used for all further ones. The first is short because the content may not be the cause:
	// where all callers request the same, each upstream that another content crashes is also serving it. The
	// second blocks a content that is requested repeatedly. The last is about as long as upstreams run the
	// same software.
	Durations []time.Duration
	// CrashTTL is how long a crash counts. HistoryTTL is how long after the end of a quarantine the table
	// keeps the number of the content's quarantines.
	CrashTTL, HistoryTTL time.Duration
	// ServedTTL is how long after a content was served no crash counts against it. Where many callers request
	// the same, any upstream that crashes is also serving it.
	ServedTTL time.Duration
	// MaxServed is the maximum number of served contents that are kept in each ServedTTL.
	MaxServed int
	// MaxContents is the maximum number of contents with crashes that are kept, MaxQuarantined that of
	// contents that are or were quarantined. The oldest are dropped.
	MaxContents, MaxQuarantined int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Crashes:    2,
		Durations:  []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour},
		CrashTTL:   10 * time.Minute, // callers that retry do so within seconds
		HistoryTTL: 24 * time.Hour,
		ServedTTL:  time.Minute, // content that is requested less often is hardly served by two upstreams that crash
		// 130 requests a second, ten times the load of an instance; 16 bytes each
		MaxServed:      8192,
		MaxContents:    4096, // 80 engines that crash at once with 48 requests each
		MaxQuarantined: 1000, // rows of some 100 bytes; an instance reads two pages of them at its start
	}
}

// Table holds the crashes and quarantines of contents that an instance knows. It is not safe for concurrent
// use.
type Table struct {
	settings    Settings
	records     map[Content]*record
	quarantines map[Content]quarantine
	served      recent
	outbox      outbox
}

// record holds the crashes that occurred while a content was served.
type record struct {
	// crashes are the upstreams whose crashes count; ignored are those that crashed before the content was
	// served.
	crashes, ignored map[uint32]bool
	newest           time.Duration
	// observed is true if this instance observed one of the crashes itself.
	observed bool
}

// quarantine is the latest quarantine of a content: its number, from 1, and its start.
type quarantine struct {
	times int
	since time.Duration
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: map[Content]*record{}, quarantines: map[Content]quarantine{}, served: newRecent(s.ServedTTL, s.MaxServed), outbox: newOutbox()}
}

// Empty reports whether there are no records of crashes and no quarantines, so that contents need not be
// looked up.
func (t *Table) Empty() bool { return len(t.records) == 0 && len(t.quarantines) == 0 }

// duration returns the duration of a content's nth quarantine.
func (t *Table) duration(times int) time.Duration {
	return t.settings.Durations[min(times, len(t.settings.Durations))-1]
}

// Quarantined reports whether a content is quarantined, so that no upstream may receive it.
func (t *Table) Quarantined(c Content, now time.Duration) bool {
	q, ok := t.quarantines[c]
	return ok && now-q.since < t.duration(q.times)
}

// TimesQuarantined returns how often a content was quarantined.
func (t *Table) TimesQuarantined(c Content) int { return t.quarantines[c].times }

// CountQuarantined returns how many contents are quarantined.
func (t *Table) CountQuarantined(now time.Duration) int {
	n := 0
	for c := range t.quarantines {
		if t.Quarantined(c, now) {
			n++
		}
	}
	return n
}

// Crashes returns how many crashes count against a content.
func (t *Table) Crashes(c Content) int {
	r, ok := t.records[c]
	if !ok {
		return 0
	}
	return len(r.crashes)
}

// SawCrash reports whether this instance itself observed a crash during which a content was served.
func (t *Table) SawCrash(c Content) bool {
	r, ok := t.records[c]
	return ok && r.observed
}

// RecordCrash records a crash that this instance observed, and reports whether it starts a quarantine of the
// content.
func (t *Table) RecordCrash(c Crash, now time.Duration) bool {
	added := t.add(c, now)
	t.records[c.Content].observed = true
	if !added {
		return false
	}
	started := t.decide(c.Content, now)
	if started {
		c.Times = t.TimesQuarantined(c.Content)
	}
	t.outbox.addOwn(c, now)
	return started
}

// ReceiveCrash records a crash that another instance reported, of the same zone or of another one, and
// reports whether it starts a quarantine of the content.
func (t *Table) ReceiveCrash(c Crash, sameZone bool, now time.Duration) bool {
	added := t.add(c, now)
	started := added && t.decide(c.Content, now) || t.follow(c, now)
	if added || started {
		t.outbox.addReceived(c, sameZone, now)
	}
	return started
}

// follow starts the quarantine that a crash started at another instance, where an earlier quarantine of the
// content is known. That one may have begun later here, and still be on although it has ended there.
func (t *Table) follow(c Crash, now time.Duration) bool {
	known := t.TimesQuarantined(c.Content)
	if known == 0 || c.Times <= known || t.served.has(c.Content, now) {
		return false
	}
	t.quarantines[c.Content] = quarantine{times: c.Times, since: now}
	return true
}

// add records a crash, and reports whether it was not known before.
func (t *Table) add(c Crash, now time.Duration) bool {
	r, ok := t.records[c.Content]
	if !ok {
		t.makeRoom(now)
		r = &record{crashes: map[uint32]bool{}, ignored: map[uint32]bool{}}
		t.records[c.Content] = r
	}
	if r.crashes[c.Upstream] || r.ignored[c.Upstream] {
		return false
	}
	r.crashes[c.Upstream] = true
	r.newest = now
	return true
}

// decide quarantines a content after a new crash if enough crashes count against it, or if it was quarantined
// before and that quarantine is over. It reports whether it did. A content that was served recently is not
// quarantined.
func (t *Table) decide(c Content, now time.Duration) bool {
	if t.served.has(c, now) {
		t.ignoreCrashes(c)
		return false
	}
	if t.Quarantined(c, now) || t.TimesQuarantined(c) == 0 && t.Crashes(c) < t.settings.Crashes {
		return false
	}
	t.quarantines[c] = quarantine{times: t.TimesQuarantined(c) + 1, since: now}
	return true
}

// RecordServed records that a content was answered completely, which shows that the crashes before had other
// causes. It deletes the content's quarantine, and reports whether there was one.
func (t *Table) RecordServed(c Content, now time.Duration) bool {
	t.served.add(c, now)
	t.ignoreCrashes(c)
	_, existed := t.quarantines[c]
	delete(t.quarantines, c)
	return existed
}

// ignoreCrashes makes the crashes that are recorded for a content no longer count.
func (t *Table) ignoreCrashes(c Content) {
	if r, ok := t.records[c]; ok {
		maps.Copy(r.ignored, r.crashes)
		clear(r.crashes)
	}
}

// Quarantine applies the decision of another instance to quarantine a content for the nth time. It returns
// false if the decision is wrong because the content was served here recently.
func (t *Table) Quarantine(c Content, times int, now time.Duration) bool {
	if t.served.has(c, now) {
		return false
	}
	if times > t.TimesQuarantined(c) {
		t.quarantines[c] = quarantine{times: times, since: now}
	}
	return true
}

// Release deletes the quarantine of a content and its record of crashes.
func (t *Table) Release(c Content) {
	delete(t.quarantines, c)
	delete(t.records, c)
}

// Expired returns the contents whose quarantines need not be kept any more: those that ended long
// enough ago, and the oldest of those in excess of MaxQuarantined.
func (t *Table) Expired(now time.Duration) []Content {
	list := slices.SortedFunc(maps.Keys(t.quarantines), func(a, b Content) int {
		return cmp.Or(cmp.Compare(t.quarantines[a].since, t.quarantines[b].since), cmp.Compare(a, b))
	})
	excess := max(0, len(list)-t.settings.MaxQuarantined)
	expired := list[:excess:excess]
	for _, c := range list[excess:] {
		if q := t.quarantines[c]; now-q.since > t.duration(q.times)+t.settings.HistoryTTL {
			expired = append(expired, c)
		}
	}
	return expired
}

// makeRoom deletes the expired records, and the oldest one if there are still too many.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.records) < t.settings.MaxContents {
		return
	}
	t.expireRecords(now)
	if len(t.records) < t.settings.MaxContents {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.records)), func(a, b Content) int {
		return cmp.Or(cmp.Compare(t.records[a].newest, t.records[b].newest), cmp.Compare(a, b))
	})
	delete(t.records, oldest)
}

// expireRecords deletes the records whose newest crash is older than CrashTTL.
func (t *Table) expireRecords(now time.Duration) {
	maps.DeleteFunc(t.records, func(_ Content, r *record) bool { return now-r.newest > t.settings.CrashTTL })
}

// Expire deletes the crashes that no longer count, and those that were published long enough.
func (t *Table) Expire(now time.Duration) {
	t.expireRecords(now)
	t.outbox.expire(now)
}
