package usage

import "slices"

// toldAtMost bounds the totals in one report: 64 of them take some 1,400 bytes of a
// datagram's 4,096. The others wait for the next report, 0.1 or 0.2 s later.
const toldAtMost = 64

// due are the totals that the next report tells.
type due map[Window]map[string]bool

func (d due) add(window Window, organisation string) {
	if d[window] == nil {
		d[window] = map[string]bool{}
	}
	d[window][organisation] = true
}

func (d due) forget(oldest Window) {
	for window := range d {
		if window < oldest {
			delete(d, window)
		}
	}
}

// take removes and returns some of them, those of the newest windows first: these change,
// and they are not reported yet.
func (d due) take(total func(Window) Counts) []Count {
	var list []Count
	for _, window := range d.ordered() {
		counts := total(window)
		for organisation := range d[window] {
			if len(list) == toldAtMost {
				return list
			}
			list = append(list, Count{Window: window, Organisation: organisation, Requests: counts[organisation]})
			delete(d[window], organisation)
		}
		delete(d, window)
	}
	return list
}

func (d due) ordered() []Window {
	var list []Window
	for window := range d {
		list = append(list, window)
	}
	slices.Sort(list)
	slices.Reverse(list)
	return list
}

// DueOwn returns the totals of this instance that changed since they were told.
func (t *Tally) DueOwn() []Count {
	return t.ownDue.take(func(w Window) Counts { return t.own[w] })
}

// DueZone returns the totals of the zone that changed since they were told.
func (t *Tally) DueZone() []Count {
	return t.zoneDue.take(t.zone)
}

// Republish has the next reports tell all totals of the windows from one on: some reports
// may have been lost, and some receivers have just started.
func (t *Tally) Republish(from Window) {
	t.own.all(from, t.ownDue)
	t.own.all(from, t.zoneDue)
	for _, w := range t.sources {
		w.all(from, t.zoneDue)
	}
}

func (w windows) all(from Window, tell due) {
	for window, counts := range w {
		if window < from {
			continue
		}
		for organisation := range counts {
			tell.add(window, organisation)
		}
	}
}
