package fanout

import "time"

// Intervals of the reports. They determine the age of the data that instances decide on. For
// comparison, the prompts of one engine end some 100 ms apart.
const (
	// ownMinGap is the least time between two reports of an instance. ownMaxGap is the
	// time after which an instance reports even if nothing changed.
	ownMinGap = 100 * time.Millisecond
	ownMaxGap = 400 * time.Millisecond
	// seedEvery is the time between the reports of an instance that receives no batches yet,
	// and between a hub's reports to the seeds, for the first seedFor after the start.
	// seedEveryLater is the time between reports to the seeds after that. They are needed
	// where two groups of instances do not know of each other.
	seedEvery      = 150 * time.Millisecond
	seedFor        = 2 * time.Second
	seedEveryLater = 5 * time.Second
	// batchEvery is the time between batches. zoneEvery is the time between the reports
	// of a zone to the other zones; traffic between zones costs money.
	batchEvery = 100 * time.Millisecond
	zoneEvery  = 200 * time.Millisecond
	// urgentGap is the least time between two batches that are sent because rows changed.
	// Many rows that change at once are sent together.
	urgentGap = 20 * time.Millisecond
	// hubCheckEvery bounds how late an instance may notice that it became a hub.
	hubCheckEvery = 100 * time.Millisecond
	// engineTimesEvery is the time between reports with engine times, which change
	// over seconds.
	engineTimesEvery = time.Second
)

// Due says what an instance is to send now.
type Due struct {
	// OwnReport is its report to its receivers, Batch a batch to its zone, ZoneReport its
	// zone's report to the other zones, and SeedReport a report to the seeds. EngineTimes
	// means that the report or batch includes the times of the engines.
	OwnReport, Batch, ZoneReport, SeedReport, EngineTimes bool
}

// Pacer decides when an instance reports. It is not safe for concurrent use.
type Pacer struct {
	start time.Duration
	// ownAt, batchAt, zoneAt, seedAt and engineTimesAt are when each was last sent.
	ownAt, batchAt, zoneAt, seedAt, engineTimesAt time.Duration
	// changed: the instance has a change to report. urgent: rows of the platform changed.
	changed, urgent bool
}

// NewPacer returns the pacer of an instance that starts now.
func NewPacer(now time.Duration) *Pacer {
	return &Pacer{start: now, ownAt: now - ownMaxGap, batchAt: now - batchEvery, zoneAt: now - zoneEvery, seedAt: now - seedEvery, engineTimesAt: now}
}

// MarkChanged records that the instance has a change to report.
func (p *Pacer) MarkChanged() { p.changed = true }

// Next returns what is to be sent now, and the time until the next call. Relays is whether the
// instance relays reports as a hub, and receivesBatches whether batches reach it. Urgent
// changes shorten the intervals to urgentGap.
func (p *Pacer) Next(now time.Duration, relays, receivesBatches, urgent bool) (Due, time.Duration) {
	p.urgent = p.urgent || urgent
	var due Due
	if relays {
		due.Batch = now-p.batchAt >= p.interval(batchEvery)
		due.ZoneReport = now-p.zoneAt >= p.interval(zoneEvery)
		due.SeedReport = now-p.seedAt >= p.seedInterval(now)
	} else {
		due.OwnReport = now-p.ownAt >= p.interval(p.ownInterval(now, receivesBatches))
	}
	if due.OwnReport || due.Batch {
		due.EngineTimes = now-p.engineTimesAt >= engineTimesEvery
	}
	p.markSent(due, now)
	return due, p.nextDue(now, relays, receivesBatches)
}

// interval returns the time between two sends, which is shorter for urgent changes.
func (p *Pacer) interval(usual time.Duration) time.Duration {
	if p.urgent {
		return min(usual, urgentGap)
	}
	return usual
}

// seedInterval returns the time between a hub's reports to the seeds.
func (p *Pacer) seedInterval(now time.Duration) time.Duration {
	if now-p.start < seedFor {
		return seedEvery
	}
	return seedEveryLater
}

// ownInterval returns the time between this instance's reports.
func (p *Pacer) ownInterval(now time.Duration, receivesBatches bool) time.Duration {
	switch {
	case p.changed:
		return ownMinGap
	case !receivesBatches && now-p.start < seedFor:
		return seedEvery
	default:
		return ownMaxGap
	}
}

func (p *Pacer) markSent(due Due, now time.Duration) {
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
		p.seedAt = now
	}
	if due.EngineTimes {
		p.engineTimesAt = now
	}
}

// nextDue returns the time until something may be due.
func (p *Pacer) nextDue(now time.Duration, relays, receivesBatches bool) time.Duration {
	if relays {
		return max(0, min(p.batchAt+p.interval(batchEvery), p.zoneAt+p.interval(zoneEvery))-now)
	}
	return max(0, min(p.ownAt+p.interval(p.ownInterval(now, receivesBatches))-now, hubCheckEvery))
}
