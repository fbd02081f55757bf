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

// PlatformFaults are the faults that the platform's stand-in injects. The zero value injects none.
type PlatformFaults struct {
	// Down answers each call with status 503.
	Down bool `json:"down"`
	// Stall blocks each call until the fault is cleared or the client disconnects.
	Stall bool `json:"stall"`
	// DelayMs delays each call by that many milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is the number of the next commits that take effect but close the connection
	// without a reply.
	LoseReplies int `json:"lose_replies"`
	// LosePrefix limits LoseReplies to commits that write a key with this prefix.
	LosePrefix string `json:"lose_prefix"`
	// StaleReadMs serves reads from the state of the table that many milliseconds ago.
	StaleReadMs int `json:"stale_read_ms"`
	// ListLagMs serves the instance list as of that many milliseconds ago.
	ListLagMs int `json:"list_lag_ms"`
}

// PathTableStats returns the TableStats.
const PathTableStats = "/table/stats"

// PathSetInstance adds or replaces an entry of the instance list. PathDropInstance removes one.
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

// rowState is the state of a row from a point in time on.
type rowState struct {
	row     platform.Row
	deleted bool
	at      time.Time
}

// listing is the instance list from a point in time on.
type listing struct {
	instances []platform.Instance
	at        time.Time
}

// maxHistory bounds the states kept of each row and of the instance list for stale reads.
const maxHistory = 64

// Platform is the stand-in of the platform's service.
type Platform struct {
	mu        sync.Mutex // protects all below
	faults    PlatformFaults
	revision  int64
	rows      map[string][]rowState // newest last
	objects   map[string][]byte
	instances map[string]platform.Instance
	listings  []listing
	stats     TableStats
	rate      float64
}

// NewPlatform returns an empty platform. rate is the weight store's transfer rate in bytes per
// second.
func NewPlatform(rate float64) *Platform {
	return &Platform{
		rows:      map[string][]rowState{},
		objects:   map[string][]byte{},
		instances: map[string]platform.Instance{},
		rate:      rate,
	}
}

// Handler serves the platform's interface, the changes of the instance list, the statistics and the
// setting of faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathGet, p.withFaults(p.get))
	mux.HandleFunc(platform.PathList, p.withFaults(p.list))
	mux.HandleFunc(platform.PathCommit, p.withFaults(p.commit))
	mux.HandleFunc(platform.PathObjects, p.withFaults(p.object))
	mux.HandleFunc(platform.PathInstances, p.withFaults(p.listInstances))
	mux.HandleFunc(platform.PathWeights, p.withFaults(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, platform.WeightsReply{BytesPerSecond: p.rate})
	}))
	mux.HandleFunc(PathSetInstance, p.setInstance)
	mux.HandleFunc(PathDropInstance, p.dropInstance)
	mux.HandleFunc(PathTableStats, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, p.stats)
	})
	mux.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var faults PlatformFaults
		if readJSON(w, r, &faults) {
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

func (p *Platform) currentFaults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// withFaults applies the faults Down, Stall and DelayMs before it calls next.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := p.currentFaults()
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		for p.currentFaults().Stall && r.Context().Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		next(w, r)
	}
}

// rowAsOf returns the state of a row at the time asOf, and whether the row existed then. The lock is
// held.
func (p *Platform) rowAsOf(key string, asOf time.Time) (platform.Row, bool) {
	states := p.rows[key]
	for i := len(states) - 1; i >= 0; i-- {
		if !states[i].at.After(asOf) {
			return states[i].row, !states[i].deleted
		}
	}
	return platform.Row{}, false
}

// asOf returns the time whose state reads return. The lock is held.
func (p *Platform) asOf() time.Time {
	return time.Now().Add(-time.Duration(p.faults.StaleReadMs) * time.Millisecond)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var request platform.KeyRequest
	if !readJSON(w, r, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	row, ok := p.rowAsOf(request.Key, p.asOf())
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	var request platform.ListRequest
	if !readJSON(w, r, &request) {
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
		if row, ok := p.rowAsOf(key, p.asOf()); ok {
			answer.Rows = append(answer.Rows, row)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	writeJSON(w, answer)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checksHold(txn.Checks) {
		p.stats.Conflicts++
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	p.apply(txn.Writes)
	if p.loseReply(txn.Writes) {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	writeJSON(w, platform.CommitReply{Revision: p.revision})
}

// checksHold reports whether each checked row has the expected revision, where 0 means that the row
// does not exist. The lock is held.
func (p *Platform) checksHold(checks []platform.Check) bool {
	for _, check := range checks {
		row, ok := p.rowAsOf(check.Key, time.Now())
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
		states := append(p.rows[write.Key], rowState{
			row:     platform.Row{Key: write.Key, Value: write.Value, Revision: p.revision},
			deleted: write.Delete,
			at:      time.Now(),
		})
		if len(states) > maxHistory {
			states = states[len(states)-maxHistory:]
		}
		p.rows[write.Key] = states
	}
}

// loseReply reports whether the reply to a commit is to be lost, and counts it against LoseReplies.
// The lock is held.
func (p *Platform) loseReply(writes []platform.Write) bool {
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
	writeJSON(w, json.RawMessage(data))
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
	writeJSON(w, answer)
}

func (p *Platform) setInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.ID] = instance
	p.recordListing()
}

func (p *Platform) dropInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, instance.ID)
	p.recordListing()
}

// recordListing appends the current instance list to the history. The lock is held.
func (p *Platform) recordListing() {
	now := listing{at: time.Now(), instances: []platform.Instance{}}
	for _, instance := range p.instances {
		now.instances = append(now.instances, instance)
	}
	sort.Slice(now.instances, func(i, j int) bool { return now.instances[i].ID < now.instances[j].ID })
	p.listings = append(p.listings, now)
	if len(p.listings) > maxHistory {
		p.listings = p.listings[1:]
	}
}
