package fanout

import "time"

// Pace of the reports. What an instance decides on is as old as they are slow: the
// prompts of one engine end some 100 ms apart.
const (
	// ownGap is the least time between two reports of an instance, ownAtMost the
	// time after which one with nothing new tells so.
	ownGap    = 100 * time.Millisecond
	ownAtMost = 400 * time.Millisecond
	// greetEvery is the time between reports of an instance to which no batches
	// come yet, for the first greetFor; greetLater the time between greetings of the
	// seeds after that, should two parts of the instances not know of one another.
	greetEvery = 150 * time.Millisecond
	greetFor   = 2 * time.Second
	greetLater = 5 * time.Second
	// batchEvery is the time between batches, zoneEvery that between the reports of
	// a zone to the other zones, whose bytes cost.
	batchEvery = 100 * time.Millisecond
	zoneEvery  = 200 * time.Millisecond
	// urgentGap is the least time between two batches that news of rows brings about:
	// many rows that change at once go out together.
	urgentGap = 20 * time.Millisecond
	// standby is how late an instance may notice that it is to pass reports on.
	standby = 100 * time.Millisecond
	// timesEvery is the time between words on what the engines take, which change
	// over seconds.
	timesEvery = time.Second
)

// Due is what an instance is to send.
type Due struct {
	// OwnReport: its report to its receivers. Batch: a batch to its zone. ZoneReport: its
	// zone's report to the other zones. SeedReport: a report to the seeds. EngineTimes: with
	// what the engines take.
	OwnReport, Batch, ZoneReport, SeedReport, EngineTimes bool
}

// Pacer decides when an instance reports. It is not safe for concurrent use.
type Pacer struct {
	start time.Duration
	// ownAt, batchAt, zoneAt, greetAt and timesAt are when each was last sent.
	ownAt, batchAt, zoneAt, greetAt, timesAt time.Duration
	// changed: there is something new to tell; urgent: of the platform's rows.
	changed, urgent bool
}

// NewPacer returns the pace of an instance that starts now.
func NewPacer(now time.Duration) *Pacer {
	return &Pacer{start: now, ownAt: now - ownAtMost, batchAt: now - batchEvery, zoneAt: now - zoneEvery, greetAt: now - greetEvery, timesAt: now}
}

// MarkChanged notes that the instance has something new under way.
func (p *Pacer) MarkChanged() { p.changed = true }

// Next returns what is to be sent now, for an instance that passes reports on or not
// and to which batches come or not, and the time until the next call. Urgent news
// hardly waits.
func (p *Pacer) Next(now time.Duration, passes, hears, urgent bool) (Due, time.Duration) {
	p.urgent = p.urgent || urgent
	var due Due
	if passes {
		due.Batch = now-p.batchAt >= p.every(batchEvery)
		due.ZoneReport = now-p.zoneAt >= p.every(zoneEvery)
		due.SeedReport = now-p.greetAt >= p.greetEvery(now)
	} else {
		due.OwnReport = now-p.ownAt >= p.every(p.ownEvery(now, hears))
	}
	if due.OwnReport || due.Batch {
		due.EngineTimes = now-p.timesAt >= timesEvery
	}
	p.sent(due, now)
	return due, p.wait(now, passes, hears)
}

// every is the time between two sends, which urgent news shortens.
func (p *Pacer) every(usual time.Duration) time.Duration {
	if p.urgent {
		return min(usual, urgentGap)
	}
	return usual
}

// greetEvery is the time between greetings of the seeds.
func (p *Pacer) greetEvery(now time.Duration) time.Duration {
	if now-p.start < greetFor {
		return greetEvery
	}
	return greetLater
}

// ownEvery is the time between this instance's reports.
func (p *Pacer) ownEvery(now time.Duration, hears bool) time.Duration {
	switch {
	case p.changed:
		return ownGap
	case !hears && now-p.start < greetFor:
		return greetEvery
	default:
		return ownAtMost
	}
}

func (p *Pacer) sent(due Due, now time.Duration) {
	if due.OwnReport || due.Batch {
		p.changed, p.urgent, p.ownAt = false, false, now
	}
	if due.Batch {
		p.batchAt = now
	}
	if due.ZoneReport {
		p.zoneAt = now
	}
	if due.SeedReport {
		p.greetAt = now
	}
	if due.EngineTimes {
		p.timesAt = now
	}
}

// wait is the time until something may be due.
func (p *Pacer) wait(now time.Duration, passes, hears bool) time.Duration {
	if passes {
		return max(0, min(p.batchAt+p.every(batchEvery), p.zoneAt+p.every(zoneEvery))-now)
	}
	return max(0, min(p.ownAt+p.every(p.ownEvery(now, hears))-now, standby))
}
