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

// BenchmarkKeyedCall compares calls with a key and without one, one after the
// other, and counts the table's calls by the keyed ones. Each kind is run in
// turn, so that both meet the same load of the machine.
func BenchmarkKeyedCall(b *testing.B) {
	f := newFixture(b, size{instances: 1, engines: 1, services: 1})
	entry := f.Instances[0].EntryAddress
	var keyed, keyless []time.Duration
	before := f.tableStats()
	rows := f.claimCount()
	for n := range b.N {
		lot := fmt.Sprintf("lot %d", n)
		started := time.Now()
		f.issue(entry, "", lot)
		keyless = append(keyless, time.Since(started))
		started = time.Now()
		if got := f.issue(entry, lot, lot); got.Status != 200 {
			b.Fatalf("told %+v", got)
		}
		keyed = append(keyed, time.Since(started))
	}
	after := f.tableStats()
	b.ReportMetric(ms(middle(keyless)), "ms-keyless-p50")
	b.ReportMetric(ms(middle(keyed)), "ms-keyed-p50")
	b.ReportMetric(ms(slices.Max(keyed)), "ms-keyed-max")
	b.ReportMetric(float64(f.claimCount()-rows)/float64(b.N), "rows/call")
	b.ReportMetric(float64(after.Commits-before.Commits)/float64(b.N), "commits/call")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/call")
}

// BenchmarkResumeAfterKill measures from the kill of the entry in the middle of
// an answer to the first event from another instance, attached to the engine's
// stream, and from another engine when that one is killed too.
func BenchmarkResumeAfterKill(b *testing.B) {
	for _, both := range []bool{false, true} {
		b.Run(fmt.Sprintf("engine-killed=%v", both), func(b *testing.B) {
			f := newFixture(b, size{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "50"}})
			victim, other := f.Instances[0], f.Instances[1]
			var waits []time.Duration
			for n := range b.N {
				waits = append(waits, f.resumeOnce(victim, other, int64(1000+n), both))
			}
			slices.Sort(waits)
			b.ReportMetric(ms(middle(waits)), "ms-p50")
			b.ReportMetric(ms(waits[0]), "ms-best")
			b.ReportMetric(ms(waits[len(waits)-1]), "ms-worst")
		})
	}
}

func (f *fixture) resumeOnce(victim, other *testfleet.Instance, seed int64, both bool) time.Duration {
	c := chat(seed, 60)
	var killed time.Time
	var dead *testfleet.Engine
	first := f.stream(victim.EntryAddress, c, 20, func(id string) {
		killed = time.Now()
		victim.Entry.Kill()
		if both {
			dead = f.Engines[f.engineOf(id)]
			dead.Process.Kill()
		}
	})
	resumed := c
	resumed.LastEventID = first.LastID
	var wait time.Duration
	rest := f.stream(other.EntryAddress, resumed, 1, func(string) { wait = time.Since(killed) })
	if first.Text+rest.Text != undisturbedText(c) {
		f.t.Fatalf("not whole: %q + %q", first.Text, rest.Text)
	}
	f.restartEntry(victim, "")
	if dead != nil {
		f.restartEngine(dead, "--decode-rate", "50")
	}
	return wait
}

// BenchmarkSlowStream measures the resident memory of sf-entry for each stream
// whose caller takes nothing.
func BenchmarkSlowStream(b *testing.B) {
	f := newFixture(b, size{
		instances: 1, engines: 2, engineFlags: []string{"--decode-rate", "5000", "--max-running", "4096", "--kv-blocks", "1000000"},
		entrySettings: "write_timeout = \"10m\"\n",
	})
	entry := f.Instances[0].EntryAddress
	c := chat(15, 500)
	body := fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": 500, "seed": %d, "messages": [{"role": "user", "content": %q}]}`, modelName, c.Seed, prompt)
	before := residentBytes(b, f.Instances[0].Entry)
	dialer := net.Dialer{Control: smallBuffer}
	for range b.N {
		conn, err := dialer.DialContext(f.ctx, "tcp", entry)
		f.must(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
		f.must(err)
	}
	f.until("all streams have begun", func() bool { return f.metric(entry, "entry.requests") >= int64(b.N) })
	// The tokens handed on stop rising when each caller's buffers are full.
	settled, last := 0, int64(-1)
	f.until("no stream goes on", func() bool {
		tokens := f.metric(entry, "entry.tokens")
		if settled++; tokens != last {
			settled, last = 0, tokens
		}
		return settled > 50
	})
	b.ReportMetric(float64(residentBytes(b, f.Instances[0].Entry)-before)/float64(b.N), "B-resident/stream")
	b.ReportMetric(float64(last)/float64(b.N), "tokens/stream")
}

// restartEngine starts an engine that ended.
func (f *fixture) restartEngine(e *testfleet.Engine, flags ...string) {
	f.t.Helper()
	args := append([]string{"--listen", e.Address, "engine", "--id", e.ID, "--model", modelName, "--model-version", "1"}, flags...)
	p, err := f.Start(e.ID, "sf-standin", args...)
	f.must(err)
	e.Process = p
	f.until(e.ID+" answers", func() bool { return testfleet.Post(f.ctx, e.Address, testservers.PathRecord, nil, nil) == nil })
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func middle(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}

func (f *fixture) tableStats() testservers.TableStats {
	f.t.Helper()
	var stats testservers.TableStats
	f.must(testfleet.Post(f.ctx, f.PlatformAddress, testservers.PathTableStats, nil, &stats))
	return stats
}

func (f *fixture) claimCount() int {
	f.t.Helper()
	rows, err := f.PlatformClient().List(context.Background(), "claim/")
	f.must(err)
	return len(rows)
}

// residentBytes reads a process's resident memory from the kernel.
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
