package relay

import (
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/upstreamstate"
)

// continuationMeters counts the runs that continue a stream of which the caller has events: at the software version
// that began it, at another one, and without knowledge of the version that began it.
type continuationMeters struct {
	sameVersion, otherVersion, unknownVersion metrics.Counter
}

func newContinuationMeters() continuationMeters {
	return continuationMeters{
		sameVersion: counter("continued_same_version"), otherVersion: counter("continued_other_version"),
		unknownVersion: counter("continued_unknown_version"),
	}
}

// streamVersion is the software version of the engine that began a stream.
type streamVersion struct {
	known   bool
	version string
}

// recordContinuation logs and counts a run that continues a stream after its last event.
func (r *Relay) recordContinuation(g *generation, engine upstreamstate.Upstream) {
	m := r.meters.continuations
	switch {
	case !g.began.known:
		m.unknownVersion.Inc(1)
	case g.began.version == engine.Version:
		m.sameVersion.Inc(1)
	default:
		m.otherVersion.Inc(1)
	}
	r.log.Info("relay: stream continues", "request", g.req.ID, "resumes", g.req.Resumes, "last_event", g.lastEvent, "within_answer", g.headerSent,
		"began_known", g.began.known, "began", g.began.version, "engine", engine.ID, "version", engine.Version)
}
