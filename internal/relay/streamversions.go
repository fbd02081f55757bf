package relay

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/upstreamstate"
)

// comebackMargin is added to the time in which a caller may take a stream up, for the network.
const comebackMargin = 2 * time.Second

// versionRecords holds which software versions began streams, and which versions the services have.
type versionRecords struct {
	// replicate sends records to other instances, ask asks them for the record of a stream. Both are set before the relay
	// serves.
	replicate func([]streamversions.Record)
	ask       func(ctx context.Context, stream streamversions.ID, service uint32) (answers []streamversions.Answer, asked int)

	// table returns what is known of the table of the histories. It is set before the relay serves, and called without mu, as
	// it may wait for a row that is being applied.
	table func() streamversions.Table

	mu      sync.Mutex // protects all below
	census  *streamversions.Census
	records *streamversions.Records
	// mixed are the services whose records are replicated, because callers may take up streams of several versions.
	mixed map[string]bool
	// leaving is set once this instance stops. It replicates all records then.
	leaving bool
	// storeNeeded receives a value when a version is to be added to the stored history of its service.
	storeNeeded chan struct{}
	// historyApplied is closed and replaced when a stored history was applied.
	historyApplied chan struct{}
}

func newVersionRecords() *versionRecords {
	return &versionRecords{
		replicate: func([]streamversions.Record) {},
		ask: func(context.Context, streamversions.ID, uint32) ([]streamversions.Answer, int) {
			return nil, 0
		},
		table:  func() streamversions.Table { return streamversions.Table{} },
		census: streamversions.NewCensus(), records: streamversions.NewRecords(), mixed: map[string]bool{},
		storeNeeded: make(chan struct{}, 1), historyApplied: make(chan struct{}),
	}
}

// SetStreamReplicator sets the functions that send the records of streams to other instances, and ask these for the
// record of a stream. It is called before the relay serves.
func (r *Relay) SetStreamReplicator(replicate func([]streamversions.Record), ask func(context.Context, streamversions.ID, uint32) ([]streamversions.Answer, int)) {
	r.versions.replicate, r.versions.ask = replicate, ask
}

// updateMixed updates whether a service has several versions. It returns the records to replicate if it has them since
// now. The lock is held.
func (r *Relay) updateMixed(service string, now time.Duration) []streamversions.Record {
	v := r.versions
	list := v.census.Versions(service, now)
	mixed := len(list) > 1
	if mixed == v.mixed[service] {
		return nil
	}
	var records []streamversions.Record
	if mixed {
		v.mixed[service] = true
		records = v.records.OwnOf(service, now)
	} else {
		delete(v.mixed, service)
	}
	r.log.Info("relay: software versions of a service changed", "service", service, "versions", list, "replicated", len(records))
	return records
}

// replicateRecords sends records to other instances.
func (r *Relay) replicateRecords(records []streamversions.Record) {
	if len(records) == 0 {
		return
	}
	r.meters.continuations.replicated.Inc(int64(len(records)))
	r.versions.replicate(records)
}

// noteVersion updates the versions of the upstreams from an upstream's newest entry.
func (r *Relay) noteVersion(u upstreamstate.Upstream) {
	v, now := r.versions, r.now()
	v.mu.Lock()
	var records []streamversions.Record
	if v.census.Update(u.ID, u.Service, u.Version, now) {
		records = r.updateMixed(u.Service, now)
		v.notifyDue(now)
	}
	v.mu.Unlock()
	r.replicateRecords(records)
}

// noteVersionGone updates the versions of the upstreams after an upstream's entry was removed.
func (r *Relay) noteVersionGone(id string) {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	r.versions.census.Remove(id, r.now())
}

// recordStream records at which version a stream began or goes on, before the caller receives any of it. Other instances
// get the record while the service has several versions.
func (r *Relay) recordStream(x *exchange, version string) {
	if !x.route.Resumable || version == "" {
		return
	}
	v, now := r.versions, r.now()
	lifetime := streamversions.MaxLifetime
	if x.req.WaitBudget > 0 {
		lifetime = x.req.WaitBudget - (now - x.arrived) + comebackMargin
	}
	records := []streamversions.Record{{Stream: streamversions.IDOf(x.req.ID), Version: version, Lifetime: lifetime}}
	if x.req.LastEvent != "" && x.req.Resumes != "" {
		records = append(records, streamversions.Record{Stream: streamversions.IDOf(x.req.Resumes), Version: version, Lifetime: lifetime})
	}
	v.mu.Lock()
	for _, record := range records {
		v.records.Put(record, x.service, now)
	}
	r.updateMixed(x.service, now)
	replicates := (v.mixed[x.service] || v.leaving) && !x.forwarded // the instance that forwarded the request replicates its records
	v.mu.Unlock()
	if replicates {
		r.replicateRecords(records)
	}
}

// HandOverStreams sends all records to other instances, as this one stops, and from then on each new one.
func (r *Relay) HandOverStreams() {
	r.versions.mu.Lock()
	r.versions.leaving = true
	records := r.versions.records.All(r.now())
	r.versions.mu.Unlock()
	if len(records) > 0 {
		r.log.Info("relay: records of streams handed over", "records", len(records))
	}
	r.replicateRecords(records)
}

// hasSeveralVersions reports whether callers may take up streams of several versions of a service.
func (r *Relay) hasSeveralVersions(service string) bool {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	return len(r.versions.census.Versions(service, r.now())) > 1
}

// ApplyStreamRecords keeps records of other instances.
func (r *Relay) ApplyStreamRecords(records []streamversions.Record) {
	now := r.now()
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	for _, record := range records {
		r.versions.records.PutReplica(record, now)
	}
}

// StreamAnswer returns what this instance knows about a stream and its service, by a hash of the service's name.
func (r *Relay) StreamAnswer(stream streamversions.ID, service uint32) streamversions.Answer {
	name := r.serviceName(service)
	knowledge, view := r.knowledgeOf(stream, name)
	return view.Answer(knowledge)
}

// serviceName returns the name of the service with a hash; empty if there is none.
func (r *Relay) serviceName(hash uint32) string {
	for name := range r.Services() {
		if serviceHash(name) == hash {
			return name
		}
	}
	return ""
}

// knowledgeOf returns what this instance itself knows about a stream, and about the versions of a service; an empty name
// stands for one that is not known here.
func (r *Relay) knowledgeOf(stream streamversions.ID, service string) (streamversions.Knowledge, streamversions.View) {
	now, table := r.now(), r.versions.table()
	current := r.entriesCurrent == nil || r.entriesCurrent() // takes locks that are held while entries are applied
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	census := r.versions.census
	return r.versions.records.Get(stream, now), streamversions.View{
		Versions: census.Versions(service, now), Complete: service != "" && census.Complete(service, table, now), KnownFor: census.KnownFor(service, now),
		Current: current,
	}
}

// requireBegunVersion determines the version at which a stream must go on that the caller takes up. The error is a
// refusal if the route's streams cannot be resumed, if the version is not known, or if no engine of it is left.
func (r *Relay) requireBegunVersion(ctx context.Context, x *exchange) error {
	if x.req.LastEvent == "" || x.route.Kind != routes.Generation {
		return nil
	}
	if !x.route.Resumable {
		r.meters.continuations.refusedOnce.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "streams of this route cannot be resumed"}
	}
	if x.requires.version != "" {
		return nil
	}
	knowledge, view, ok := r.resolveVersion(ctx, x)
	if !ok {
		r.meters.continuations.refusedUnknown.Inc(1)
		r.logNotContinued(x, "the version that began it is not known", view)
		return &Refusal{Outcome: NotRun, Reason: "the stream's version is not known", RetryIn: r.retryIn(x)}
	}
	x.requires = requiredVersion{version: knowledge.Version, source: versionSource(knowledge.Source), age: knowledge.Age}
	r.recordTakenUp(x, view)
	if x.requires.version != "" && !r.shouldForward(x) && !r.upstreams.CanGenerate(x.placementRequest(r.now()), r.now()) {
		r.meters.continuations.refusedGone.Inc(1)
		r.logNotContinued(x, "no engine of its version is left", view)
		return &Refusal{Outcome: NotRun, Reason: "no engine of the stream's version is left"}
	}
	return nil
}

// resolveVersion returns the version that began the stream that the caller takes up: from this instance's records, or
// else from those of others.
func (r *Relay) resolveVersion(ctx context.Context, x *exchange) (streamversions.Knowledge, streamversions.View, bool) {
	stream := streamversions.IDOf(x.req.Resumes)
	knowledge, view := r.knowledgeOf(stream, x.service)
	if knowledge.Found || knowledge.Ambiguous {
		return knowledge, view, knowledge.Found
	}
	if x.req.Resumes == "" && view.SeveralVersions() {
		return knowledge, view, false // a record could not be found
	}
	var answers []streamversions.Answer
	answers, view.Asked = r.versions.ask(ctx, stream, serviceHash(x.service))
	view.Answered = len(answers)
	knowledge, ok := streamversions.Resolve(view, answers)
	return knowledge, view, ok
}

// recordTakenUp logs and counts a stream that a caller takes up, with what its version was concluded from.
func (r *Relay) recordTakenUp(x *exchange, view streamversions.View) {
	if x.requires.source == versionSource(streamversions.SourceOnlyVersion) {
		r.meters.continuations.onlyVersion.Inc(1)
	}
	r.log.Info("relay: stream taken up", "request", x.req.ID, "resumes", x.req.Resumes, "last_event", x.req.LastEvent,
		"began", x.requires.version, "source", x.requires.source, "age", x.requires.age,
		"versions", view.Versions, "complete", view.Complete, "known_for", view.KnownFor, "asked", view.Asked, "answered", view.Answered)
}

func (r *Relay) logNotContinued(x *exchange, reason string, view streamversions.View) {
	r.log.Info("relay: stream cannot continue", "request", x.req.ID, "resumes", x.req.Resumes, "last_event", x.req.LastEvent, "reason", reason,
		"began", x.requires.version, "source", x.requires.source, "age", x.requires.age, "versions", view.Versions, "complete", view.Complete, "known_for", view.KnownFor, "asked", view.Asked, "answered", view.Answered)
}
