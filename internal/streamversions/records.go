// Package streamversions keeps which software version began a stream, and which versions the upstreams of a service
// have. Engines of different versions do not continue each other's streams, so an instance that a caller comes back
// to has to know the version, or that there is only one.
//
// The package has no clock, no I/O and no goroutine. Times are passed in, on the instance's monotonic clock. Callers
// are relay, which feeds it and decides by Resolve, and peers, which exchanges records between instances.
package streamversions

import (
	"slices"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a stream by the id of the caller's attempt that brought its first event.
type ID uint64

// IDOf returns the ID of the stream that an attempt began. The attempt's id may have any length and content.
func IDOf(attempt string) ID { return ID(xxhash.Sum64String(attempt)) }

// Bounds of what instances keep about streams.
const (
	// MaxLifetime bounds the time for which a record is kept, whatever the caller's wait budget is.
	MaxLifetime = time.Minute
	// MaxVersionBytes bounds a version. A longer one is not recorded.
	MaxVersionBytes = 128
	// maxRecords bounds the records of an instance. The oldest ones are dropped.
	maxRecords = 16 << 10
)

// Record says which version began a stream.
type Record struct {
	Stream  ID
	Version string
	// Lifetime is how much longer the caller may come back.
	Lifetime time.Duration
}

// Knowledge is what an instance knows about a stream.
type Knowledge struct {
	// Found is set if a version is recorded. Ambiguous is set if several versions are, because callers used an id for
	// several streams.
	Found, Ambiguous bool
	Version          string
	// Age is the time since the version was recorded.
	Age time.Duration
	// Source is where this instance has it from; empty if nothing is known.
	Source Source
}

// Source says where an instance knows from which version began a stream.
type Source string

// Sources of the version that began a stream.
const (
	SourceOwnRecord   Source = "own record"   // this instance served the stream
	SourceReplica     Source = "replica"      // another instance replicated its record
	SourceInstance    Source = "instance"     // another instance answered
	SourceOnlyVersion Source = "only version" // the service has had no other one
)

// entry is a record with the times of this instance's clock.
type entry struct {
	version        unique.Handle[string]
	at, expires    time.Duration
	ambiguous, own bool
	// service is the stream's service; empty for records of other instances.
	service string
}

// Records holds the records of an instance: those of its own streams and those that other instances replicated to it.
type Records struct {
	entries map[ID]entry
	// order has the streams in the order in which they were first recorded, to expire and drop the oldest ones. A stream
	// that is recorded again after its record expired moves to the end.
	order []ID
}

// NewRecords returns an empty store of records.
func NewRecords() *Records { return &Records{entries: map[ID]entry{}} }

// Put adds the record of a stream of this instance.
func (r *Records) Put(record Record, service string, now time.Duration) {
	r.put(record, entry{own: true, service: service}, now)
}

// PutReplica adds a record of another instance.
func (r *Records) PutReplica(record Record, now time.Duration) { r.put(record, entry{}, now) }

func (r *Records) put(record Record, e entry, now time.Duration) {
	if record.Lifetime <= 0 || len(record.Version) > MaxVersionBytes {
		return
	}
	e.version, e.at, e.expires = unique.Make(record.Version), now, now+min(record.Lifetime, MaxLifetime)
	old, exists := r.entries[record.Stream]
	if exists && now >= old.expires {
		r.remove(record.Stream) // counts as a new one
		exists = false
	}
	if exists {
		e.at, e.expires = old.at, max(e.expires, old.expires)
		e.ambiguous = old.ambiguous || old.version != e.version
		if old.own {
			e.own, e.service = true, old.service
		}
	}
	r.entries[record.Stream] = e
	if !exists {
		r.order = append(r.order, record.Stream)
		r.trim(now)
	}
}

// remove removes a stream. It takes a time proportional to the number of records, and is called for few.
func (r *Records) remove(stream ID) {
	delete(r.entries, stream)
	i := slices.Index(r.order, stream)
	r.order = slices.Delete(r.order, i, i+1)
}

// trim drops the oldest records while they have expired or there are too many.
func (r *Records) trim(now time.Duration) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		if now < r.entries[oldest].expires && len(r.order) <= maxRecords {
			return
		}
		delete(r.entries, oldest)
		r.order = r.order[1:]
	}
}

// Get returns what is recorded about a stream.
func (r *Records) Get(stream ID, now time.Duration) Knowledge {
	e, ok := r.entries[stream]
	if !ok || now >= e.expires {
		return Knowledge{}
	}
	source := SourceReplica
	if e.own {
		source = SourceOwnRecord
	}
	if e.ambiguous {
		return Knowledge{Ambiguous: true, Age: now - e.at, Source: source}
	}
	return Knowledge{Found: true, Version: e.version.Value(), Age: now - e.at, Source: source}
}

// OwnOf returns the records of this instance's streams of a service.
func (r *Records) OwnOf(service string, now time.Duration) []Record {
	return r.list(now, func(e entry) bool { return e.own && e.service == service })
}

// All returns all records, including those of other instances.
func (r *Records) All(now time.Duration) []Record {
	return r.list(now, func(entry) bool { return true })
}

// list returns the records of the streams that are selected and have one version.
func (r *Records) list(now time.Duration, selected func(entry) bool) []Record {
	var list []Record
	for _, stream := range r.order {
		if e := r.entries[stream]; selected(e) && !e.ambiguous && now < e.expires {
			list = append(list, Record{Stream: stream, Version: e.version.Value(), Lifetime: e.expires - now})
		}
	}
	return list
}

// Len returns the number of records, including expired ones that were not dropped yet.
func (r *Records) Len() int { return len(r.entries) }
