// Package standin has small stand-ins of what surrounds the system: the
// platform's service, model engines and plain services. It is scaffolding for
// tests, load runs and the demo. Faults are switched at run time.
package standin

import (
	"encoding/json"
	"net/http"
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
