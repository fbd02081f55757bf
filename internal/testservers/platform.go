package testservers

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"sassafrasfield/internal/platform"
)

// PlatformFaults are the faults of the platform's stand-in. The zero value has
// none.
type PlatformFaults struct {
	// Down answers each call with 503.
	Down bool `json:"down"`
	// Stall leaves each call without an answer until it is switched off.
	Stall bool `json:"stall"`
	// DelayMs is added to each call.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is how many of the next commits take effect and break the
	// connection in place of a reply.
	LoseReplies int `json:"lose_replies"`
	// LosePrefix limits LoseReplies to commits that write a key with it.
	LosePrefix string `json:"lose_prefix"`
	// StaleReadMs serves reads as the table was that long ago.
	StaleReadMs int `json:"stale_read_ms"`
	// ListLagMs serves the instance list as it was that long ago.
	ListLagMs int `json:"list_lag_ms"`
}

// PathTableStats tells how many calls the table served.
const PathTableStats = "/table/stats"

// PathSetInstance adds or changes a line of the instance list; PathDropInstance
// removes one.
const (
	PathSetInstance  = "/instances/set"
	PathDropInstance = "/instances/drop"
)

// TableStats counts the calls that the table served.
type TableStats struct {
	Reads     int64 `json:"reads"`
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
}

// versioned is one state of a row in time.
type versioned struct {
	row     platform.Row
	deleted bool
	at      time.Time
}

// listing is the instance list at a time.
type listing struct {
	instances []platform.Instance
	at        time.Time
}

// historyKept bounds how many old states of a row are kept for stale reads.
const historyKept = 64

// Platform is the stand-in of the platform's service.
type Platform struct {
	mu        sync.Mutex // protects all below
	faults    PlatformFaults
	revision  int64
	rows      map[string][]versioned // newest last
	objects   map[string][]byte
	instances map[string]platform.Instance
	listings  []listing
	stats     TableStats
	rate      float64
}

// NewPlatform returns an empty platform with the weight store's rate in bytes
// a second.
func NewPlatform(rate float64) *Platform {
	return &Platform{
		rows:      map[string][]versioned{},
		objects:   map[string][]byte{},
		instances: map[string]platform.Instance{},
		rate:      rate,
	}
}

// Handler serves the platform's interface and the fault switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathGet, p.faulty(p.get))
	mux.HandleFunc(platform.PathList, p.faulty(p.list))
	mux.HandleFunc(platform.PathCommit, p.faulty(p.commit))
	mux.HandleFunc(platform.PathObjects, p.faulty(p.object))
	mux.HandleFunc(platform.PathInstances, p.faulty(p.listInstances))
	mux.HandleFunc(platform.PathWeights, p.faulty(func(w http.ResponseWriter, _ *http.Request) {
		reply(w, platform.WeightsReply{BytesPerSecond: p.rate})
	}))
	mux.HandleFunc(PathSetInstance, p.setInstance)
	mux.HandleFunc(PathDropInstance, p.dropInstance)
	mux.HandleFunc(PathTableStats, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		reply(w, p.stats)
	})
	mux.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var faults PlatformFaults
		if read(w, r, &faults) {
			p.SetFaults(faults)
		}
	})
	return mux
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Platform) current() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// faulty applies the faults that concern each call.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := p.current()
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		for p.current().Stall && r.Context().Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		next(w, r)
	}
}

// at returns the newest state of a row that is old enough to be read.
func (p *Platform) at(key string, asOf time.Time) (platform.Row, bool) {
	states := p.rows[key]
	for i := len(states) - 1; i >= 0; i-- {
		if !states[i].at.After(asOf) {
			return states[i].row, !states[i].deleted
		}
	}
	return platform.Row{}, false
}

func (p *Platform) asOf() time.Time {
	return time.Now().Add(-time.Duration(p.faults.StaleReadMs) * time.Millisecond)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var request platform.KeyRequest
	if !read(w, r, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	row, ok := p.at(request.Key, p.asOf())
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	reply(w, row)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	var request platform.ListRequest
	if !read(w, r, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	answer := platform.ListReply{Rows: []platform.Row{}}
	for key := range p.rows {
		if !strings.HasPrefix(key, request.Prefix) {
			continue
		}
		if row, ok := p.at(key, p.asOf()); ok {
			answer.Rows = append(answer.Rows, row)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	reply(w, answer)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !read(w, r, &txn) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.holds(txn.Checks) {
		p.stats.Conflicts++
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	p.apply(txn.Writes)
	if p.losesReply(txn.Writes) {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	reply(w, platform.CommitReply{Revision: p.revision})
}

func (p *Platform) holds(checks []platform.Check) bool {
	for _, check := range checks {
		row, ok := p.at(check.Key, time.Now())
		if !ok {
			row.Revision = 0
		}
		if row.Revision != check.Revision {
			return false
		}
	}
	return true
}

func (p *Platform) apply(writes []platform.Write) {
	p.stats.Commits++
	p.revision++
	for _, write := range writes {
		states := append(p.rows[write.Key], versioned{
			row:     platform.Row{Key: write.Key, Value: write.Value, Revision: p.revision},
			deleted: write.Delete,
			at:      time.Now(),
		})
		if len(states) > historyKept {
			states = states[len(states)-historyKept:]
		}
		p.rows[write.Key] = states
	}
}

func (p *Platform) losesReply(writes []platform.Write) bool {
	if p.faults.LoseReplies == 0 {
		return false
	}
	for _, write := range writes {
		if strings.HasPrefix(write.Key, p.faults.LosePrefix) {
			p.faults.LoseReplies--
			return true
		}
	}
	return false
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.EscapedPath(), platform.PathObjects)
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.objects[name] = data
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	reply(w, json.RawMessage(data))
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(p.faults.ListLagMs) * time.Millisecond)
	answer := platform.InstancesReply{Instances: []platform.Instance{}}
	for i := len(p.listings) - 1; i >= 0; i-- {
		if !p.listings[i].at.After(asOf) {
			answer.Instances = p.listings[i].instances
			break
		}
	}
	reply(w, answer)
}

func (p *Platform) setInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if !read(w, r, &instance) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.ID] = instance
	p.relist()
}

func (p *Platform) dropInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if !read(w, r, &instance) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, instance.ID)
	p.relist()
}

func (p *Platform) relist() {
	now := listing{at: time.Now(), instances: []platform.Instance{}}
	for _, instance := range p.instances {
		now.instances = append(now.instances, instance)
	}
	sort.Slice(now.instances, func(i, j int) bool { return now.instances[i].ID < now.instances[j].ID })
	p.listings = append(p.listings, now)
	if len(p.listings) > historyKept {
		p.listings = p.listings[1:]
	}
}
