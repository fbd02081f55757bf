package relay

import (
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/upstreamstate"
)

// versionSource says where an instance knows from which software version began a stream: one of the constants below, or
// a streamversions.Source.
type versionSource string

// Sources besides those of package streamversions.
const (
	versionFromAnswer    versionSource = "answer"    // the answer in progress began at it
	versionFromForwarder versionSource = "forwarder" // the instance that forwarded the request says so
)

// requiredVersion is the software version at which a stream that has begun must continue. Engines of different
// versions do not continue each other's streams, and do not check it. The zero value requires none.
type requiredVersion struct {
	version string
	source  versionSource
	// age is the time since the version was recorded.
	age time.Duration
}

// continuationMeters counts the runs that continue a stream of which the caller has events: at the software version
// that began it, at another one, and without knowledge of the version that began it.
type continuationMeters struct {
	sameVersion, otherVersion, unknownVersion metrics.Counter
	// refusedUnknown and refusedGone count the streams that callers wanted to take up and that were refused: as the
	// version that began them is not known, as no engine of it is left, and as the streams of their route cannot be resumed.
	// replicated counts the records sent.
	refusedUnknown, refusedGone, refusedOnce, replicated metrics.Counter
	// onlyVersion counts the streams that were taken up without a record, at the only version that the service has had.
	onlyVersion metrics.Counter
	// begunUnstored counts the placements of streams at versions that other instances would not know of after a restart of
	// all, as the store did not take them in time.
	begunUnstored metrics.Counter
}

func newContinuationMeters() continuationMeters {
	return continuationMeters{
		sameVersion: counter("continued_same_version"), otherVersion: counter("continued_other_version"),
		unknownVersion: counter("continued_unknown_version"),
		refusedUnknown: counter("continuations_refused_unknown"), refusedGone: counter("continuations_refused_gone"),
		onlyVersion: counter("continuations_without_record"), begunUnstored: counter("streams_begun_unstored"),
		refusedOnce: counter("continuations_refused_once"), replicated: counter("stream_records_sent"),
	}
}

// versionWriter is a response writer that passes on the version of the engine that generates.
type versionWriter interface {
	SetVersion(version string)
}

// begin sends the answer's header to the caller, unless an earlier engine's was sent. From then on the stream continues
// only at the version of the engine.
func (g *generation) begin(reply *Reply, version string) {
	if g.headerSent {
		return
	}
	if g.requires.version == "" && version != "" {
		g.requires = requiredVersion{version: version, source: versionFromAnswer}
	}
	if w, ok := g.w.(versionWriter); ok {
		w.SetVersion(version)
	}
	g.relay.recordStream(g.exchange, g.requires.version)
	g.attempts.Answered()
	writeHeader(g.w, g.exchange, reply)
	g.headerSent = true
	observe("first", g.relay.now()-g.arrived)
}

// interrupted returns the result of an attempt whose stream broke off.
func (g *generation) interrupted(upstream string, err error) attempt.Result {
	if g.attempts.Backup() == "" && !g.relay.canContinue(g.exchange, upstream) {
		return attempt.Result{Status: attempt.Done, Err: errors.WithMessagef(ErrAnswerAborted, "no engine of version %q is left: %s", g.requires.version, err)}
	}
	return failedAttempt(upstream, err)
}

// fitsVersion reports whether an upstream has the required software version; empty for any.
func fitsVersion(required string, u upstreamstate.Upstream) bool {
	return required == "" || u.Version == required
}

// hasOtherVersion reports whether an upstream has another software version than a send requires, or than the engines
// whose KV cache it would use, by its newest entry.
func (r *Relay) hasOtherVersion(send Send) bool {
	to := send.To
	if current := r.upstreams.Upstream(to.ID); current.ID != "" {
		to.Version = current.Version
	}
	if !fitsVersion(send.Version, send.To) || !fitsVersion(send.Version, to) {
		return true
	}
	if r.settings.Placement.KVAcrossVersions {
		return false
	}
	for _, other := range []upstreamstate.Upstream{send.KV.Engine, send.FetchFrom, send.Backup} {
		if other.ID != "" && other.Version != to.Version {
			return true
		}
	}
	return false
}

// generationRequest returns the input for choosing the engine that generates from the KV cache of another engine.
func (g *generation) generationRequest(kvEngine upstreamstate.Upstream) upstreamstate.PlacementRequest {
	request := g.placementRequest(g.relay.now())
	request.AvoidedVersions, _, _ = g.relay.unstoredVersions(g.exchange)
	if request.Version == "" && !g.relay.settings.Placement.KVAcrossVersions {
		request.Version = kvEngine.Version
	}
	return request
}

// kvIsBound reports whether the processed prompt can only be used by engines of its own version, although the stream may
// still begin at any.
func (g *generation) kvIsBound() bool {
	return g.requires.version == "" && !g.relay.settings.Placement.KVAcrossVersions && g.relay.hasSeveralVersions(g.service)
}

// giveUpKV drops a processed prompt that no engine of its version can generate from.
func (g *generation) giveUpKV() attempt.Result {
	g.relay.freeKV(g)
	engine := g.kv.Engine
	g.kv = KV{}
	return attempt.Result{
		Status: attempt.NotReady, Upstream: engine.ID, Unsent: true,
		Err: errors.WithMessagef(ErrNotSent, "no engine of version %q to generate", engine.Version),
	}
}

// canContinue reports whether an engine other than the one that failed may continue a stream, at the version that began
// it. Without one, waiting for a retry would only keep the caller from coming back. An instance of an earlier build
// that a request was forwarded to does not name the version.
func (r *Relay) canContinue(x *exchange, failed string) bool {
	switch {
	case x.requires.version == "":
		return !r.hasSeveralVersions(x.service)
	case r.shouldForward(x):
		return true
	}
	now := r.now()
	request := x.placementRequest(now)
	request.Excluded = maps.Clone(request.Excluded)
	request.Excluded[failed] = true
	return r.upstreams.CanGenerate(request, now)
}

// recordContinuation logs and counts a run that continues a stream after its last event.
func (r *Relay) recordContinuation(g *generation, engine upstreamstate.Upstream) {
	m := r.meters.continuations
	switch {
	case g.requires.version == "":
		m.unknownVersion.Inc(1)
	case g.requires.version == engine.Version:
		m.sameVersion.Inc(1)
	default:
		m.otherVersion.Inc(1)
	}
	r.log.Info("relay: stream continues", "request", g.req.ID, "resumes", g.req.Resumes, "last_event", g.lastEvent, "within_answer", g.headerSent,
		"began", g.requires.version, "source", g.requires.source, "age", g.requires.age, "engine", engine.ID, "version", engine.Version)
}
