package load

import (
	"math"
	"time"
)

// Parameters of the traffic statistics.
const (
	lagSamples     = 32
	durationWeight = 0.05 // of the newest stream in the mean duration
	// maxReportAge bounds the age that is assumed for a report.
	maxReportAge = time.Minute
)

// Traffic has statistics that an instance derives from its own placements on all engines: the age of reports
// and the duration of streams. The zero value has no samples.
type Traffic struct {
	// lags is a ring of the newest upper bounds of a report's age, samples the number recorded so far.
	lags    [lagSamples]time.Duration
	samples int
	// minLag is the greatest lower bound of a report's age, used while no upper bound is known.
	minLag       time.Duration
	meanDuration time.Duration
}

// addUpperBound records that a report is the first to account for a placement and arrived age after the
// placement. The report was taken at most that long before its arrival.
func (t *Traffic) addUpperBound(age time.Duration) {
	t.lags[t.samples%lagSamples] = age
	t.samples++
}

// addLowerBound records that a report does not account for a placement and arrived age after the engine
// accepted the placement. The report was taken before that.
func (t *Traffic) addLowerBound(age time.Duration) {
	t.minLag = max(t.minLag, age)
}

// Lag returns the estimated age of a report at its arrival: the least of the newest upper bounds or, while
// there is none, the greatest lower bound.
func (t *Traffic) Lag() time.Duration {
	n := min(t.samples, lagSamples)
	if n == 0 {
		return t.minLag
	}
	least := t.lags[0]
	for _, lag := range t.lags[1:n] {
		least = min(least, lag)
	}
	return least
}

// addDuration adds the duration of a stream to the moving mean.
func (t *Traffic) addDuration(duration time.Duration) {
	if t.meanDuration == 0 {
		t.meanDuration = duration
		return
	}
	t.meanDuration += time.Duration(durationWeight * float64(duration-t.meanDuration))
}

// remainingShare returns the share of the requests in a report of the given age that still run.
func (t *Traffic) remainingShare(age time.Duration) float64 {
	if t.meanDuration <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / t.meanDuration.Seconds())
}

// Estimated returns the estimated load at now: the reported load, less the work done since the report was
// taken, plus the own placements that the report does not count. The load of the instance's own streams is
// the lower bound. With fresh reports the result is close to Charged, with very old ones close to Local.
func (u *Upstream) Estimated(now time.Duration) View {
	t := u.traffic
	age := min(maxReportAge, now-u.ReportAt+t.Lag())
	charged, own := u.chargedView(), u.Local()
	reported := u.Reported()
	remaining := t.remainingShare(age)
	prefill := max(0, reported.PrefillTokens-int(u.Report.PrefillRate*age.Seconds()))
	return View{
		Requests:      max(own.Requests, int(float64(reported.Requests)*remaining)+charged.Requests),
		Waiting:       int(float64(reported.Waiting) * remaining),
		PrefillTokens: max(own.PrefillTokens, prefill+charged.PrefillTokens),
		Blocks:        charged.Blocks,
	}
}
