package control_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// takeovers is the number of takeovers measured per kind of fault.
const takeovers = 10

// BenchmarkTakeover measures the time from a fault of the holder until the
// table shows another holder, with the default settings and four instances.
func BenchmarkTakeover(b *testing.B) {
	for _, fault := range []string{"kill", "terminate", "freeze"} {
		b.Run(fault, func(b *testing.B) {
			r := newRig(b, "", config.FencingRefuse)
			for i := range 4 {
				r.addInstance(fmt.Sprintf("inst-%d", i), "")
			}
			var durations []time.Duration
			for range takeovers {
				durations = append(durations, r.measureTakeover(fault))
			}
			slices.Sort(durations)
			b.ReportMetric(durations[len(durations)/2].Seconds(), "median-s")
			b.ReportMetric(durations[len(durations)-1].Seconds(), "worst-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureTakeover injects a fault into the holder, waits for another holder,
// restarts the first, and returns the time until the takeover.
func (r *rig) measureTakeover(fault string) time.Duration {
	r.waitUntil("a holder", func() bool { return r.leaseRow(0).Holder != "" })
	time.Sleep(time.Duration(700+len(r.leaseRow(0).Holder)) * time.Millisecond) // lets the holder renew it
	old := r.leaseRow(0)
	id, _, _ := strings.Cut(old.Holder, "/")
	at := slices.IndexFunc(r.fleet.Instances, func(i *testfleet.Instance) bool { return i.ID == id })
	i := r.fleet.Instances[at]
	started := time.Now()
	switch fault {
	case "kill":
		i.Control.Kill()
	case "terminate":
		i.Control.Signal(syscall.SIGTERM)
	case "freeze":
		i.Control.Signal(syscall.SIGSTOP)
	}
	r.waitUntil("another holder", func() bool { now := r.leaseRow(0); return now.Epoch > old.Epoch && now.Holder != "" })
	elapsed := time.Since(started)
	i.Control.Kill()
	r.must(r.fleet.StartControl(i))
	return elapsed
}

// BenchmarkLeaseTable measures the table calls for leases with 9 instances,
// using the daemons' own counters.
func BenchmarkLeaseTable(b *testing.B) {
	for _, pools := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			r := newRig(b, "[lease]\nhand_back_after = \"2s\"\n", slices.Repeat([]config.Fencing{config.FencingRefuse}, pools)...)
			for i := range 9 {
				r.addInstance(fmt.Sprintf("inst-%d", i), "")
			}
			time.Sleep(15 * time.Second) // until each lease is held by its first choice
			reads, writes := r.leaseCalls()
			before := r.tableStats()
			const span = 10 * time.Second
			time.Sleep(span)
			readsAfter, writesAfter := r.leaseCalls()
			after := r.tableStats()
			b.ReportMetric((readsAfter-reads)/span.Seconds(), "lease-reads/s")
			b.ReportMetric((writesAfter-writes)/span.Seconds(), "lease-writes/s")
			b.ReportMetric(float64(after.Reads-before.Reads)/span.Seconds(), "table-reads/s")
			b.ReportMetric(float64(after.Commits-before.Commits)/span.Seconds(), "table-commits/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (r *rig) tableStats() testservers.TableStats {
	var stats testservers.TableStats
	platform := r.fleet.PlatformAddress
	r.must(testfleet.Post(r.ctx, platform, testservers.PathTableStats, nil, &stats))
	return stats
}

// leaseCalls returns the sums of the daemons' counters.
func (r *rig) leaseCalls() (reads, writes float64) {
	for _, i := range r.fleet.Instances {
		res, err := http.Get("http://" + i.ControlAddress + "/metrics")
		r.must(err)
		counts := decodeCounts(r, res)
		reads += counts["lease.reads"].Count
		writes += counts["lease.writes"].Count
	}
	return reads, writes
}

// counter is a counter in the output of /metrics.
type counter struct {
	Count float64 `json:"count"`
}

func decodeCounts(r *rig, res *http.Response) map[string]counter {
	defer res.Body.Close()
	counts := map[string]counter{}
	r.must(json.NewDecoder(res.Body).Decode(&counts))
	return counts
}
