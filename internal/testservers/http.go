// Package testservers has small stand-ins of what surrounds the system: the
// platform's service, model engines and plain services. It is scaffolding for
// tests, load runs and the demo. Faults are switched at run time.
package testservers

import (
	"encoding/json"
	"net/http"
	"sync"
)

// PathFault switches faults of a stand-in at run time.
const PathFault = "/fault"

// reply writes a JSON answer.
func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client has gone
}

// read decodes a JSON body and reports whether it could.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// PathTraces returns the trace contexts that a stand-in has seen.
const PathTraces = "/traces"

// tracesKept bounds the trace contexts that are kept.
const tracesKept = 4096

// SeenTrace is a call that carried a W3C trace context.
type SeenTrace struct {
	Path        string `json:"path"`
	Traceparent string `json:"traceparent"`
}

// RecordTraces keeps the trace context of each call to next, and serves them
// at PathTraces.
func RecordTraces(next http.Handler) http.Handler {
	var mu sync.Mutex // protects seen
	var seen []SeenTrace
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if r.URL.Path == PathTraces {
			defer mu.Unlock()
			reply(w, seen)
			return
		}
		if parent := r.Header.Get("Traceparent"); parent != "" && len(seen) < tracesKept {
			seen = append(seen, SeenTrace{Path: r.URL.Path, Traceparent: parent})
		}
		mu.Unlock()
		next.ServeHTTP(w, r)
	})
}
