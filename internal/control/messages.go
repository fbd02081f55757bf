package control

import (
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/versions"
)

func versionMessage(e versions.Entry) *sfv1.VersionEntry {
	return &sfv1.VersionEntry{
		Version: e.Version, IntentVersion: e.Intent, Author: e.Author,
		Summary: e.Summary, PlanId: e.PlanID, AcceptedUnixMs: e.Accepted,
	}
}

func engineMessage(e *config.Engine, status engine.Status, reachable bool, holder string) *sfv1.EngineRow {
	row := &sfv1.EngineRow{
		Id: e.ID, Pool: e.Pool, Zone: e.Zone, Routing: string(e.Routing), Want: stateText(e.Want),
		Fencing: string(e.Fencing), Reachable: reachable, Holder: holder,
	}
	if reachable {
		row.Reported = stateText(status.State)
		row.Running = int32(status.Running)
	}
	return row
}

func stateText(s config.EngineState) string {
	return fmt.Sprintf("%s@%s %v %s", s.Model, s.Version, s.Adapters, s.Role)
}

// serveMetrics writes all metrics as JSON.
func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(metrics.DefaultRegistry, w)
}
