package answers

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// BenchmarkKeyedCall compares sequential calls with and without an idempotency key, and counts the operations
// on the table per keyed call. Calls of both kinds alternate, so that both run under the same load of the
// machine.
func BenchmarkKeyedCall(b *testing.B) {
	f := newFixture(b, fleetSize{instances: 1, engines: 1, services: 1})
	entry := f.Instances[0].EntryAddress
	var keyed, keyless []time.Duration
	before := f.tableStats()
	rows := f.claimCount()
	for n := range b.N {
		lot := fmt.Sprintf("lot %d", n)
		started := time.Now()
		f.issueCertificate(entry, "", lot)
		keyless = append(keyless, time.Since(started))
		started = time.Now()
		if got := f.issueCertificate(entry, lot, lot); got.Status != 200 {
			b.Fatalf("got %+v", got)
		}
		keyed = append(keyed, time.Since(started))
	}
	after := f.tableStats()
	b.ReportMetric(milliseconds(median(keyless)), "ms-keyless-p50")
	b.ReportMetric(milliseconds(median(keyed)), "ms-keyed-p50")
	b.ReportMetric(milliseconds(slices.Max(keyed)), "ms-keyed-max")
	b.ReportMetric(float64(f.claimCount()-rows)/float64(b.N), "rows/call")
	b.ReportMetric(float64(after.Commits-before.Commits)/float64(b.N), "commits/call")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/call")
}

// BenchmarkResumeAfterKill measures the time from the kill of the entry in the middle of an answer to the
// first event from another instance. That instance attaches to the engine's stream, or resumes at another
// engine if the first engine is killed too.
func BenchmarkResumeAfterKill(b *testing.B) {
	for _, both := range []bool{false, true} {
		b.Run(fmt.Sprintf("engine-killed=%v", both), func(b *testing.B) {
			f := newFixture(b, fleetSize{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "50"}})
			victim, other := f.Instances[0], f.Instances[1]
			var waits []time.Duration
			for n := range b.N {
				waits = append(waits, f.resumeOnce(victim, other, int64(1000+n), both))
			}
			slices.Sort(waits)
			b.ReportMetric(milliseconds(median(waits)), "ms-p50")
			b.ReportMetric(milliseconds(waits[0]), "ms-best")
			b.ReportMetric(milliseconds(waits[len(waits)-1]), "ms-worst")
		})
	}
}

// resumeOnce kills the victim's entry in the middle of an answer, and its engine too if both is set. It
// returns the time until the first event from the other instance.
func (f *fixture) resumeOnce(victim, other *testfleet.Instance, seed int64, both bool) time.Duration {
	c := newChat(seed, 60)
	var killed time.Time
	var killedEngine *testfleet.Engine
	first := f.streamAnswer(victim.EntryAddress, c, 20, func(id string) {
		killed = time.Now()
		victim.Entry.Kill()
		if both {
			killedEngine = f.Engines[f.engineOf(id)]
			killedEngine.Process.Kill()
		}
	})
	resumed := c
	resumed.LastEventID = first.LastID
	var wait time.Duration
	rest := f.streamAnswer(other.EntryAddress, resumed, 1, func(string) { wait = time.Since(killed) })
	if first.Text+rest.Text != expectedText(c) {
		f.t.Fatalf("incomplete answer: %q + %q", first.Text, rest.Text)
	}
	f.restartEntry(victim, "")
	if killedEngine != nil {
		f.restartEngine(killedEngine, "--decode-rate", "50")
	}
	return wait
}

// BenchmarkStuckStreamMemory measures the resident memory of sf-entry per stream whose caller reads nothing.
func BenchmarkStuckStreamMemory(b *testing.B) {
	f := newFixture(b, fleetSize{
		instances: 1, engines: 2, engineFlags: []string{"--decode-rate", "5000", "--max-running", "4096", "--kv-blocks", "1000000"},
		entrySettings: "write_timeout = \"10m\"\n",
	})
	entry := f.Instances[0].EntryAddress
	c := newChat(15, 500)
	body := fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": 500, "seed": %d, "messages": [{"role": "user", "content": %q}]}`, modelName, c.Seed, prompt)
	before := residentBytes(b, f.Instances[0].Entry)
	dialer := net.Dialer{Control: setSmallReceiveBuffer}
	for range b.N {
		conn, err := dialer.DialContext(f.ctx, "tcp", entry)
		f.must(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
		f.must(err)
	}
	f.waitUntil("all streams have started", func() bool { return f.metric(entry, "entry.requests") >= int64(b.N) })
	// The number of tokens sent stops rising when the buffers of each caller are full.
	settled, last := 0, int64(-1)
	f.waitUntil("no stream makes progress", func() bool {
		tokens := f.metric(entry, "entry.tokens")
		if settled++; tokens != last {
			settled, last = 0, tokens
		}
		return settled > 50
	})
	b.ReportMetric(float64(residentBytes(b, f.Instances[0].Entry)-before)/float64(b.N), "B-resident/stream")
	b.ReportMetric(float64(last)/float64(b.N), "tokens/stream")
}

// restartEngine starts an engine whose process has exited.
func (f *fixture) restartEngine(e *testfleet.Engine, flags ...string) {
	f.t.Helper()
	args := append([]string{"--listen", e.Address, "engine", "--id", e.ID, "--model", modelName, "--model-version", "1"}, flags...)
	p, err := f.Start(e.ID, "sf-standin", args...)
	f.must(err)
	e.Process = p
	f.waitUntil(e.ID+" answers", func() bool { return testfleet.Post(f.ctx, e.Address, testservers.PathRecord, nil, nil) == nil })
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}

func (f *fixture) tableStats() testservers.TableStats {
	f.t.Helper()
	var stats testservers.TableStats
	f.must(testfleet.Post(f.ctx, f.PlatformAddress, testservers.PathTableStats, nil, &stats))
	return stats
}

// claimCount returns the number of claims in the table.
func (f *fixture) claimCount() int {
	f.t.Helper()
	rows, err := f.PlatformClient().List(context.Background(), "claim/")
	f.must(err)
	return len(rows)
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, p *testfleet.Process) int64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}
