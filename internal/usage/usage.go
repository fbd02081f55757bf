// Package usage counts the requests that began to run, by organisation and time window.
//
// An instance counts its own requests and reports them to the hub of its zone. The hub reports the totals of
// its zone to the other zones. Reports contain totals since the beginning of the window, never differences,
// so a lost or repeated report causes no error. A known total never exceeds the true one, so the highest
// known total is used.
//
// Inputs are counted requests and the totals in reports of other instances and zones. Outputs are the totals
// to report and the known totals of a window. The package does no I/O: windows are passed in. Callers: relay
// (counts, reports), upstreamstate and peers (the reports between instances), usagereport (totals).
package usage

import "time"

// Window is the number of a time window. Window k begins k times the window length after the Unix epoch.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the time at which a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts is the number of requests by organisation name.
type Counts map[string]uint32

// raise sets the count of an organisation if n is higher, and reports whether it was.
func (c Counts) raise(organisation string, n uint32) bool {
	if n <= c[organisation] {
		return false
	}
	c[organisation] = n
	return true
}

// Sum returns the number of requests of all organisations.
func (c Counts) Sum() uint64 {
	total := uint64(0)
	for _, n := range c {
		total += uint64(n)
	}
	return total
}

// add adds the other counts to c.
func (c Counts) add(other Counts) {
	for organisation, n := range other {
		c[organisation] += n
	}
}

// Count is a total that an instance reports, either of its own requests or of those of its zone.
type Count struct {
	Window       Window
	Organisation string
	Requests     uint32
}

// Source identifies one process of an instance.
type Source struct {
	Name string
	// Boot is a number that differs with each start of the process.
	Boot uint32
}

// windows holds the counts of a source by window.
type windows map[Window]Counts

// getOrCreate returns the counts of a window, and creates them if there are none.
func (w windows) getOrCreate(window Window) Counts {
	counts, ok := w[window]
	if !ok {
		counts = Counts{}
		w[window] = counts
	}
	return counts
}

// Tally holds the counts that are known at an instance. It is not safe for concurrent use.
type Tally struct {
	own     windows
	sources map[Source]windows // by other instance of the zone
	zones   map[string]windows // by other zone
	// ownDue and zoneDue are the totals that the next reports must contain.
	ownDue, zoneDue dueTotals
	// oldest is the oldest window that is kept.
	oldest Window
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	return &Tally{own: windows{}, sources: map[Source]windows{}, zones: map[string]windows{}, ownDue: dueTotals{}, zoneDue: dueTotals{}}
}

// CountRequest counts a request of an organisation that began to run at this instance.
func (t *Tally) CountRequest(window Window, organisation string) {
	if window < t.oldest {
		return
	}
	t.own.getOrCreate(window)[organisation]++
	t.ownDue.add(window, organisation)
	t.zoneDue.add(window, organisation)
}

// MergeInstance merges the reported totals of another instance of the zone.
func (t *Tally) MergeInstance(from Source, counts []Count) {
	merge(t.sources, from, t.oldest, counts, t.zoneDue)
}

// MergeZone merges the reported totals of another zone.
func (t *Tally) MergeZone(zone string, counts []Count) {
	merge(t.zones, zone, t.oldest, counts, nil)
}

// merge raises the known totals of a source to the reported ones. Totals that were raised are added to due,
// unless due is nil.
func merge[S comparable](sources map[S]windows, from S, oldest Window, counts []Count, due dueTotals) {
	if len(counts) == 0 {
		return
	}
	known, ok := sources[from]
	if !ok {
		known = windows{}
		sources[from] = known
	}
	for _, c := range counts {
		if c.Window >= oldest && known.getOrCreate(c.Window).raise(c.Organisation, c.Requests) && due != nil {
			due.add(c.Window, c.Organisation)
		}
	}
}

// zoneTotal returns the known counts of a window in this instance's zone.
func (t *Tally) zoneTotal(window Window) Counts {
	total := Counts{}
	total.add(t.own[window])
	for _, w := range t.sources {
		total.add(w[window])
	}
	return total
}

// Total returns the known counts of a window at all instances.
func (t *Tally) Total(window Window) Counts {
	total := t.zoneTotal(window)
	for _, w := range t.zones {
		total.add(w[window])
	}
	return total
}

// DropBefore drops the windows before oldest.
func (t *Tally) DropBefore(oldest Window) {
	if oldest <= t.oldest {
		return
	}
	t.oldest = oldest
	t.own.dropBefore(oldest)
	dropBefore(t.sources, oldest)
	dropBefore(t.zones, oldest)
	t.ownDue.dropBefore(oldest)
	t.zoneDue.dropBefore(oldest)
}

func (w windows) dropBefore(oldest Window) {
	for window := range w {
		if window < oldest {
			delete(w, window)
		}
	}
}

// dropBefore drops the windows before oldest of each source, and the sources without windows.
func dropBefore[S comparable](sources map[S]windows, oldest Window) {
	for source, w := range sources {
		if w.dropBefore(oldest); len(w) == 0 {
			delete(sources, source)
		}
	}
}
