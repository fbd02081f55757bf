package usage

import "slices"

// maxTotalsPerReport bounds the totals in one report. 64 totals take about 1,400 of a datagram's 4,096 bytes.
// The others are sent in the next report, 0.1 or 0.2 s later.
const maxTotalsPerReport = 64

// dueTotals is the set of the totals that the next reports must contain.
type dueTotals map[Window]map[string]bool

func (d dueTotals) add(window Window, organisation string) {
	if d[window] == nil {
		d[window] = map[string]bool{}
	}
	d[window][organisation] = true
}

func (d dueTotals) dropBefore(oldest Window) {
	for window := range d {
		if window < oldest {
			delete(d, window)
		}
	}
}

// next removes and returns the totals for one report. Those of the newest windows come first, because they
// still change and have not been reported to the platform yet.
func (d dueTotals) next(total func(Window) Counts) []Count {
	var list []Count
	for _, window := range d.newestFirst() {
		counts := total(window)
		for organisation := range d[window] {
			if len(list) == maxTotalsPerReport {
				return list
			}
			list = append(list, Count{Window: window, Organisation: organisation, Requests: counts[organisation]})
			delete(d[window], organisation)
		}
		delete(d, window)
	}
	return list
}

func (d dueTotals) newestFirst() []Window {
	var list []Window
	for window := range d {
		list = append(list, window)
	}
	slices.Sort(list)
	slices.Reverse(list)
	return list
}

// DueOwn returns the totals of this instance that are due in its next report: those that changed since they
// were reported, and those to republish.
func (t *Tally) DueOwn() []Count {
	return t.ownDue.next(func(w Window) Counts { return t.own[w] })
}

// DueZone returns the totals of the zone that are due in its next report: those that changed since they were
// reported, and those to republish.
func (t *Tally) DueZone() []Count {
	return t.zoneDue.next(t.zoneTotal)
}

// Republish marks the totals of all windows since the given one, which is included, as due in the next
// reports. Earlier reports may have been lost, and receivers may have just started.
func (t *Tally) Republish(from Window) {
	t.own.markDue(from, t.ownDue)
	t.own.markDue(from, t.zoneDue)
	for _, w := range t.sources {
		w.markDue(from, t.zoneDue)
	}
}

// markDue adds the totals of all windows since the given one, which is included, to due.
func (w windows) markDue(from Window, due dueTotals) {
	for window, counts := range w {
		if window < from {
			continue
		}
		for organisation := range counts {
			due.add(window, organisation)
		}
	}
}
