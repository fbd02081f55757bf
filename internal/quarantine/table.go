package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Crash is the crash of an upstream under a subject that it was serving.
type Crash struct {
	Subject Subject
	// Upstream is a hash of the upstream's incarnation: it differs after a restart. It is 0 if the quarantine alone
	// is reported.
	Upstream uint32
	// Times is the number of the quarantine that the crash started at the instance that observed it; 0 if it
	// started none.
	Times int
}

// Table holds the crashes, quarantines and served subjects that an instance knows. It is not safe for concurrent
// use.
type Table struct {
	settings    Settings
	rng         *rand.Rand
	records     map[Subject]*record
	quarantines map[Subject]quarantine
	served      recent
	outbox      outbox
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{
		settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), records: map[Subject]*record{}, quarantines: map[Subject]quarantine{},
		served: newRecent(s.ServedTTL, s.MaxServed), outbox: newOutbox(),
	}
}

// Empty reports whether there are no records of crashes and no quarantines.
func (t *Table) Empty() bool { return len(t.records) == 0 && len(t.quarantines) == 0 }

// HasQuarantines reports whether subjects are or were quarantined, so that requests have to be checked.
func (t *Table) HasQuarantines() bool { return len(t.quarantines) > 0 }

// rules returns the rules for a subject.
func (t *Table) rules(s Subject) *Rules {
	if s.IsPart() {
		return &t.settings.Parts
	}
	return &t.settings.Contents
}

// nth returns the nth duration, from 1, or the last one.
func nth(durations []time.Duration, n int) time.Duration { return durations[min(n, len(durations))-1] }

// duration returns how long a quarantine of a subject lasts here. Where an instance observed the crash that comes first, it
// tries the subject before the others do.
func (t *Table) duration(s Subject, q quarantine) time.Duration {
	rules := t.rules(s)
	if r, ok := t.records[s]; rules.ReportedDurations == nil || ok && r.observedFirst() {
		return nth(rules.Durations, q.times)
	}
	d := nth(rules.ReportedDurations, q.times)
	return d + time.Duration(q.jitter*float64(d))
}

// ended reports whether a quarantine of a subject is over, so that one request may try the subject again.
func (t *Table) ended(s Subject, q quarantine, now time.Duration) bool {
	return now-q.since >= t.duration(s, q)
}

// Quarantined reports whether a subject is quarantined, so that no upstream may receive it.
func (t *Table) Quarantined(s Subject, now time.Duration) bool {
	q, ok := t.quarantines[s]
	return ok && !t.ended(s, q, now)
}

// Blocks reports whether a request must not be sent because of one of its subjects: it is quarantined, or its
// quarantine is over and another request is trying it.
func (t *Table) Blocks(s Subject, request string, now time.Duration) bool {
	q, ok := t.quarantines[s]
	switch {
	case !ok:
		return false
	case !t.ended(s, q, now):
		return true
	case q.trial == request:
		return false
	case now < q.trialUntil:
		return true
	}
	q.trial, q.trialUntil = request, now+t.settings.TrialTTL
	t.quarantines[s] = q
	return false
}

// TimesQuarantined returns how often a subject was quarantined.
func (t *Table) TimesQuarantined(s Subject) int { return t.quarantines[s].times }

// Quarantines returns how often each subject was quarantined that is or was.
func (t *Table) Quarantines() map[Subject]int {
	times := make(map[Subject]int, len(t.quarantines))
	for s, q := range t.quarantines {
		times[s] = q.times
	}
	return times
}

// CountQuarantined returns how many contents and parts are quarantined.
func (t *Table) CountQuarantined(now time.Duration) (contents, parts int) {
	for s, q := range t.quarantines {
		switch {
		case t.ended(s, q, now):
		case s.IsPart():
			parts++
		default:
			contents++
		}
	}
	return contents, parts
}

// Status is what is known about a quarantined subject.
type Status struct {
	// Crashes is how many crashes count against it, Times how often it was quarantined.
	Crashes, Times int
	// Age is the time since the quarantine began here.
	Age time.Duration
}

// Status returns what is known about a quarantined subject.
func (t *Table) Status(s Subject, now time.Duration) Status {
	q := t.quarantines[s]
	return Status{Crashes: t.Crashes(s), Times: q.times, Age: now - q.since}
}

// Crashes returns how many crashes count against a subject.
func (t *Table) Crashes(s Subject) int {
	r, ok := t.records[s]
	if !ok {
		return 0
	}
	return r.counted
}

// SinceServed returns how long ago a subject was last served, and whether that is known.
func (t *Table) SinceServed(s Subject, now time.Duration) (time.Duration, bool) {
	at, ok := t.served.last(s, now)
	return now - at, ok
}

// SawCrash reports whether this instance itself observed a crash under a subject.
func (t *Table) SawCrash(s Subject) bool {
	r, ok := t.records[s]
	return ok && len(r.observed) > 0
}

// RecordCrash records a crash that this instance observed, and reports whether it starts a quarantine of the
// subject.
func (t *Table) RecordCrash(c Crash, now time.Duration) bool {
	if t.immune(c.Subject, now) && t.records[c.Subject] == nil {
		return false // neither kept nor reported
	}
	added := t.add(c, now)
	t.records[c.Subject].observe(c.Upstream)
	if !added {
		return false
	}
	started := t.decide(c.Subject, now)
	if started {
		t.start(c.Subject, t.TimesQuarantined(c.Subject)+1, now)
		c.Times = t.TimesQuarantined(c.Subject)
	}
	t.outbox.addOwn(c, now)
	return started
}

// ReceiveCrash records a crash that another instance reported, of the same zone or of another one, and
// reports whether it starts a quarantine of the subject.
func (t *Table) ReceiveCrash(c Crash, sameZone bool, now time.Duration) bool {
	added := c.Upstream != 0 && t.add(c, now)
	started := false
	switch {
	case added && t.decide(c.Subject, now):
		t.start(c.Subject, t.TimesQuarantined(c.Subject)+1, now)
		started = true
	case t.mayFollow(c, now):
		t.start(c.Subject, c.Times, now)
		started = true
	}
	if added || started {
		t.outbox.addReceived(c, sameZone, now)
	}
	isNews := added || c.Times > t.TimesQuarantined(c.Subject)
	if isNews && !started && c.Subject.IsPart() && t.served.has(c.Subject, now) {
		t.publishServed(c.Subject, false, now)
	}
	return started
}

// publishServed tells other instances that a subject was served here.
func (t *Table) publishServed(s Subject, sinceCrash bool, now time.Duration) {
	t.outbox.addServed(Served{Subject: s, SinceCrash: sinceCrash, Notice: t.rng.Uint32()}, now)
}

// mayFollow reports whether to start the quarantine that another instance reports. With the crash of a content, an earlier
// quarantine has to be known: that one may have begun later here, and still be on although it has ended there. A subject
// that was served recently is not quarantined by fewer crashes than that takes.
func (t *Table) mayFollow(c Crash, now time.Duration) bool {
	known := t.TimesQuarantined(c.Subject)
	if c.Times <= known || t.immune(c.Subject, now) {
		return false
	}
	if !c.Subject.IsPart() && c.Upstream != 0 {
		return known > 0
	}
	return !t.served.has(c.Subject, now) || t.Crashes(c.Subject) >= t.rules(c.Subject).ServedCrashes
}

// add records a crash, and reports whether it was not known before.
func (t *Table) add(c Crash, now time.Duration) bool {
	r, ok := t.records[c.Subject]
	if !ok {
		t.makeRoom(now)
		r = &record{}
		t.records[c.Subject] = r
	}
	return r.add(c.Upstream, t.rules(c.Subject).Spacing, now)
}

// immune reports whether a subject was served so recently that no crash counts against it.
func (t *Table) immune(s Subject, now time.Duration) bool {
	since, known := t.SinceServed(s, now)
	return known && since < t.rules(s).Immunity
}

// decide reports whether a subject has to be quarantined after a new crash: enough crashes count against it, or it was
// quarantined before and that quarantine is over.
func (t *Table) decide(s Subject, now time.Duration) bool {
	if t.immune(s, now) {
		t.ignoreCrashes(s)
		return false
	}
	if t.Quarantined(s, now) {
		return false
	}
	return t.TimesQuarantined(s) > 0 || t.Crashes(s) >= t.crashesNeeded(s, now)
}

// crashesNeeded returns how many crashes quarantine a subject.
func (t *Table) crashesNeeded(s Subject, now time.Duration) int {
	if t.served.has(s, now) {
		return t.rules(s).ServedCrashes
	}
	return t.rules(s).Crashes
}

// start starts the nth quarantine of a subject.
func (t *Table) start(s Subject, times int, now time.Duration) {
	t.quarantines[s] = quarantine{times: times, since: now, jitter: t.rng.Float64()}
}

// RecordServed records that a subject was served here, which shows that the crashes before had other causes. It
// deletes the subject's quarantine, and reports whether there was one.
func (t *Table) RecordServed(s Subject, now time.Duration) bool {
	t.served.add(s, now, now)
	_, existed := t.quarantines[s]
	if existed || t.Crashes(s) > 0 {
		t.publishServed(s, true, now)
	}
	t.ignoreCrashes(s)
	delete(t.quarantines, s)
	return existed
}

// ReceiveServed records that another instance, of the same zone or of another one, served a subject, and reports
// whether that ends a quarantine of the subject.
func (t *Table) ReceiveServed(s Served, sameZone bool, now time.Duration) bool {
	if t.outbox.knowsServed(s, now) {
		return false
	}
	t.outbox.addServedElsewhere(s, sameZone, now)
	q, quarantined := t.quarantines[s.Subject]
	if s.SinceCrash {
		t.served.add(s.Subject, now, now)
		t.ignoreCrashes(s.Subject)
		delete(t.quarantines, s.Subject)
		return quarantined
	}
	rules := t.rules(s.Subject)
	t.served.add(s.Subject, now-rules.Immunity, now)
	if !quarantined || !s.Subject.IsPart() || q.times > 1 || t.Crashes(s.Subject) >= rules.ServedCrashes {
		return false
	}
	delete(t.quarantines, s.Subject)
	return true
}

// ignoreCrashes makes the crashes that are recorded for a subject no longer count.
func (t *Table) ignoreCrashes(s Subject) {
	if r, ok := t.records[s]; ok {
		r.counted = 0
	}
}

// Quarantine applies the persisted decision of another instance to quarantine a subject for the nth time. It returns
// false if the decision is wrong because the subject was served here recently.
func (t *Table) Quarantine(s Subject, times int, now time.Duration) bool {
	if t.immune(s, now) {
		return false
	}
	if times > t.TimesQuarantined(s) {
		t.start(s, times, now)
	}
	return true
}

// Release deletes the quarantine of a subject and its record of crashes. Reports of the quarantine that are still under
// way do not begin it again.
func (t *Table) Release(s Subject, now time.Duration) {
	delete(t.quarantines, s)
	delete(t.records, s)
	t.served.add(s, now-t.rules(s).Immunity, now)
}

// Expired returns the subjects whose quarantines need not be kept any more: those that ended long
// enough ago, and the oldest of those in excess of MaxQuarantined.
func (t *Table) Expired(now time.Duration) []Subject {
	list := slices.SortedFunc(maps.Keys(t.quarantines), func(a, b Subject) int {
		return cmp.Or(cmp.Compare(t.quarantines[a].since, t.quarantines[b].since), cmp.Compare(a, b))
	})
	excess := max(0, len(list)-t.settings.MaxQuarantined)
	expired := list[:excess:excess]
	for _, s := range list[excess:] {
		if q := t.quarantines[s]; now-q.since > t.duration(s, q)+t.settings.HistoryTTL {
			expired = append(expired, s)
		}
	}
	return expired
}

// makeRoom deletes the expired records if there are too many, and the oldest ones if there still are.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.records) < t.settings.MaxRecords {
		return
	}
	t.expireRecords(now)
	if len(t.records) < t.settings.MaxRecords {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(t.records), func(a, b Subject) int {
		return cmp.Or(cmp.Compare(t.records[a].newest, t.records[b].newest), cmp.Compare(a, b))
	})
	for _, s := range oldest[:1+len(oldest)/8] { // several at a time, because sorting takes long
		delete(t.records, s)
	}
}

// expireRecords deletes the records whose newest crash is older than CrashTTL.
func (t *Table) expireRecords(now time.Duration) {
	maps.DeleteFunc(t.records, func(_ Subject, r *record) bool { return now-r.newest > t.settings.CrashTTL })
}

// Expire deletes the crashes that no longer count, and those that were published long enough.
func (t *Table) Expire(now time.Duration) {
	t.expireRecords(now)
	t.outbox.expire(now)
}
