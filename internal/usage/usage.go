// Package usage counts the requests that began to run, by organisation and window of time.
//
// An instance counts its own requests and tells the others of its zone that pass reports
// on; these tell the other zones what their zone has together. What is told are totals
// since the window began, never differences, so that a report that is lost or comes twice
// changes nothing. Each total that is known is at most the true one, and the highest one
// counts.
//
// It is pure: windows are passed in. Callers: relay (counts, tells, hears), picture and peers
// (the reports between instances), usagereport (totals).
package usage

import "time"

// Window is the number of a window: window k begins k times its length after 1970.
type Window int64

// WindowAt is the window of a moment.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End is when a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts are requests by the organisation's name.
type Counts map[string]uint32

// raise sets a count that is higher than the one there, and tells whether it was.
func (c Counts) raise(organisation string, n uint32) bool {
	if n <= c[organisation] {
		return false
	}
	c[organisation] = n
	return true
}

// Sum is the requests of all organisations.
func (c Counts) Sum() uint64 {
	total := uint64(0)
	for _, n := range c {
		total += uint64(n)
	}
	return total
}

// add adds other counts.
func (c Counts) add(other Counts) {
	for organisation, n := range other {
		c[organisation] += n
	}
}

// Count is a total that one instance tells others: of its own requests or of its zone's.
type Count struct {
	Window       Window
	Organisation string
	Requests     uint32
}

// Source is one start of an instance's process.
type Source struct {
	Name string
	// Boot is another number with each start.
	Boot uint32
}

// windows are the counts of a source.
type windows map[Window]Counts

// of returns the counts of a window, made when there are none.
func (w windows) of(window Window) Counts {
	counts, ok := w[window]
	if !ok {
		counts = Counts{}
		w[window] = counts
	}
	return counts
}

// Tally has the counts that are known at an instance. It is not safe for concurrent use.
type Tally struct {
	own     windows
	sources map[Source]windows // of the other instances of the zone
	zones   map[string]windows // of the other zones
	// ownDue and zoneDue are the totals that the next reports tell.
	ownDue, zoneDue due
	// oldest is the first window that is kept.
	oldest Window
}

// NewTally returns one without counts.
func NewTally() *Tally {
	return &Tally{own: windows{}, sources: map[Source]windows{}, zones: map[string]windows{}, ownDue: due{}, zoneDue: due{}}
}

// CountRequest counts a request of an organisation.
func (t *Tally) CountRequest(window Window, organisation string) {
	if window < t.oldest {
		return
	}
	t.own.of(window)[organisation]++
	t.ownDue.add(window, organisation)
	t.zoneDue.add(window, organisation)
}

// MergeInstance takes the totals of another instance of the zone.
func (t *Tally) MergeInstance(from Source, counts []Count) {
	hear(t.sources, from, t.oldest, counts, t.zoneDue)
}

// MergeZone takes the totals of another zone.
func (t *Tally) MergeZone(zone string, counts []Count) {
	hear(t.zones, zone, t.oldest, counts, nil)
}

// hear raises what is known of a source to what it tells; what is news is due to be told.
func hear[S comparable](sources map[S]windows, from S, oldest Window, counts []Count, tell due) {
	if len(counts) == 0 {
		return
	}
	known, ok := sources[from]
	if !ok {
		known = windows{}
		sources[from] = known
	}
	for _, c := range counts {
		if c.Window >= oldest && known.of(c.Window).raise(c.Organisation, c.Requests) && tell != nil {
			tell.add(c.Window, c.Organisation)
		}
	}
}

// zone is what this instance's zone has of a window, as far as it is known here.
func (t *Tally) zone(window Window) Counts {
	total := Counts{}
	total.add(t.own[window])
	for _, w := range t.sources {
		total.add(w[window])
	}
	return total
}

// Total is what all instances have of a window, as far as it is known here.
func (t *Tally) Total(window Window) Counts {
	total := t.zone(window)
	for _, w := range t.zones {
		total.add(w[window])
	}
	return total
}

// DropBefore drops the windows before one.
func (t *Tally) DropBefore(oldest Window) {
	if oldest <= t.oldest {
		return
	}
	t.oldest = oldest
	t.own.forget(oldest)
	forget(t.sources, oldest)
	forget(t.zones, oldest)
	t.ownDue.forget(oldest)
	t.zoneDue.forget(oldest)
}

func (w windows) forget(oldest Window) {
	for window := range w {
		if window < oldest {
			delete(w, window)
		}
	}
}

// forget drops the windows before one of each source, and the sources without any.
func forget[S comparable](sources map[S]windows, oldest Window) {
	for source, w := range sources {
		if w.forget(oldest); len(w) == 0 {
			delete(sources, source)
		}
	}
}
