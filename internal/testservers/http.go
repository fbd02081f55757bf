// Package testservers provides small HTTP stand-ins of the systems that the fleet depends on: the
// platform's service, model engines and plain services. Tests, load runs and the demo use them.
// Faults can be changed at run time, by a method or at PathFault.
package testservers

import (
	"encoding/json"
	"net/http"
	"sync"
)

// PathFault replaces the faults of a stand-in at run time.
const PathFault = "/fault"

// writeJSON writes value as the JSON response body.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // an error means that the client disconnected
}

// readJSON decodes a JSON request body and reports whether it succeeded. On failure it responds
// with status 400.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// PathTraces returns the trace contexts that a stand-in received.
const PathTraces = "/traces"

// maxTraces bounds the recorded trace contexts. Later ones are not recorded.
const maxTraces = 4096

// SeenTrace is a call that carried a W3C trace context.
type SeenTrace struct {
	Path        string `json:"path"`
	Traceparent string `json:"traceparent"`
}

// RecordTraces records the trace context of each call to next and serves the records at
// PathTraces.
func RecordTraces(next http.Handler) http.Handler {
	var mu sync.Mutex // protects seen
	var seen []SeenTrace
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if r.URL.Path == PathTraces {
			defer mu.Unlock()
			writeJSON(w, seen)
			return
		}
		if parent := r.Header.Get("Traceparent"); parent != "" && len(seen) < maxTraces {
			seen = append(seen, SeenTrace{Path: r.URL.Path, Traceparent: parent})
		}
		mu.Unlock()
		next.ServeHTTP(w, r)
	})
}
