package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// End tells that an upstream ended while it had a request.
type End struct {
	Content Content
	// Upstream is a hash of the upstream's incarnation: one that starts again is another.
	Upstream uint32
}

// Settings of a Table.
type Settings struct {
	// Ends of upstreams under a content have it set apart. One is chance: an engine that
	// ended had up to 48 requests. A content that is set apart wrongly costs its request;
	// each end more costs all that its upstream has.
	Ends int
	// Remember is for how long an end counts.
	Remember time.Duration
	// Contents bounds those with ends that are remembered. The oldest yield.
	Contents int
	// ApartFor is for how long a content stays set apart, and Apart bounds how many are.
	ApartFor time.Duration
	Apart    int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Ends:     2,
		Remember: 10 * time.Minute, // callers that come back do so within seconds
		Contents: 4096,             // 80 engines that end at once with 48 requests each
		ApartFor: 24 * time.Hour,   // upstreams get other software about daily
		Apart:    1000,             // rows of some 100 bytes; a start reads two pages of them
	}
}

// Table is what an instance knows of contents. It is not safe for concurrent use.
type Table struct {
	settings Settings
	records  map[Content]*record
	// apart has the contents that are set apart, with the time from which that is known.
	apart map[Content]time.Duration
	tell  telling
}

// record is what is known of a content.
type record struct {
	// ends are those that count; served are those from before the content was served.
	ends, served map[uint32]bool
	newest       time.Duration
	// seen: this instance saw one of the ends itself.
	seen bool
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: map[Content]*record{}, apart: map[Content]time.Duration{}, tell: newTelling()}
}

// Empty tells that no content is known, so that none needs to be looked for.
func (t *Table) Empty() bool { return len(t.records) == 0 && len(t.apart) == 0 }

// Apart tells whether no upstream may get a content.
func (t *Table) Apart(c Content) bool {
	_, ok := t.apart[c]
	return ok
}

// Ends counts the ends that count against a content.
func (t *Table) Ends(c Content) int {
	r, ok := t.records[c]
	if !ok {
		return 0
	}
	return len(r.ends)
}

// Seen tells whether this instance saw an end under a content itself.
func (t *Table) Seen(c Content) bool {
	r, ok := t.records[c]
	return ok && r.seen
}

// Count is how many contents are set apart.
func (t *Table) Count() int { return len(t.apart) }

// Note takes an end that this instance saw, and tells whether the content is set apart
// by it.
func (t *Table) Note(e End, now time.Duration) bool {
	if t.add(e, now) {
		t.tell.own(e, now)
	}
	t.records[e.Content].seen = true
	return t.decide(e.Content, now)
}

// Hear takes an end that another instance told of, of the same zone or not, and tells
// whether the content is set apart by it.
func (t *Table) Hear(e End, beside bool, now time.Duration) bool {
	if t.add(e, now) {
		t.tell.heard(e, beside, now)
	}
	return t.decide(e.Content, now)
}

// add takes an end, and tells whether it is news.
func (t *Table) add(e End, now time.Duration) bool {
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

// decide sets a content apart when enough ends count against it.
func (t *Table) decide(c Content, now time.Duration) bool {
	if t.Apart(c) || t.Ends(c) < t.settings.Ends {
		return false
	}
	t.apart[c] = now
	return true
}

// Served notes that a content was answered whole: the ends before it were others' fault.
func (t *Table) Served(c Content) {
	r, ok := t.records[c]
	if !ok {
		return
	}
	maps.Copy(r.served, r.ends)
	clear(r.ends)
}

// SetApart takes another instance's decision.
func (t *Table) SetApart(c Content, now time.Duration) {
	if !t.Apart(c) {
		t.apart[c] = now
	}
}

// Release takes a content back; what ended under it is forgotten.
func (t *Table) Release(c Content) {
	delete(t.apart, c)
	delete(t.records, c)
}

// Lapsed lists the contents that were set apart for long enough, and the oldest of those
// that are too many.
func (t *Table) Lapsed(now time.Duration) []Content {
	list := slices.SortedFunc(maps.Keys(t.apart), func(a, b Content) int {
		return cmp.Or(cmp.Compare(t.apart[a], t.apart[b]), cmp.Compare(a, b))
	})
	tooMany := max(0, len(list)-t.settings.Apart)
	for tooMany < len(list) && now-t.apart[list[tooMany]] > t.settings.ApartFor {
		tooMany++
	}
	return list[:tooMany]
}

// makeRoom forgets what lapsed, and the oldest record where there are too many. Contents
// that are set apart have no need of theirs.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.records) < t.settings.Contents {
		return
	}
	t.forgetOld(now)
	if len(t.records) < t.settings.Contents {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.records)), func(a, b Content) int {
		return cmp.Or(cmp.Compare(t.records[a].newest, t.records[b].newest), cmp.Compare(a, b))
	})
	delete(t.records, oldest)
}

// forgetOld forgets the records whose ends count no longer.
func (t *Table) forgetOld(now time.Duration) {
	maps.DeleteFunc(t.records, func(_ Content, r *record) bool { return now-r.newest > t.settings.Remember })
}

// Lapse forgets the ends that count no longer.
func (t *Table) Lapse(now time.Duration) {
	t.forgetOld(now)
	t.tell.lapse(now)
}
