package relay

import "time"

// aliveWatch tells from the events of an answer when its engine has generated for longer than it does if the request
// crashes it. It takes an event halfway and another one as much later, because an instance that was suspended reads
// events late that were sent at once.
type aliveWatch struct {
	began   time.Duration
	halfway time.Duration // when the event halfway was read; 0 before
	done    bool
}

// addEvent records that an event was read, and reports whether it is the one that tells.
func (w *aliveWatch) addEvent(now time.Duration) bool {
	const half = crashWindow / 2
	switch {
	case w.done:
		return false
	case w.halfway == 0:
		if now-w.began >= half {
			w.halfway = now
		}
		return false
	}
	w.done = now-w.halfway >= half
	return w.done
}

// watchAlive returns a function to call with the events of an answer that begins now. It records that the parts of the
// prompt were served once the engine has generated for long enough.
func (r *Relay) watchAlive(x *exchange) func() {
	watch := aliveWatch{began: r.now()}
	return func() {
		if watch.addEvent(r.now()) {
			r.recordAlive(x)
		}
	}
}
