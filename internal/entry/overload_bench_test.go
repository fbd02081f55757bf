package entry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// arrivals is an open-loop load of callers that may retry.
type arrivals struct {
	rate     float64
	length   time.Duration
	attempts int
	// waitBudget is how long a caller waits for the first token of an attempt.
	waitBudget time.Duration
	// obeyRetryAfter makes callers wait for the time in Retry-After; otherwise they retry after 50 ms.
	obeyRetryAfter bool
	prompt         int // tokens, different in each request
	answer         int
}

// record is what one caller observed.
type record struct {
	at         time.Duration // of its arrival
	complete   bool
	firstToken time.Duration // since its arrival
	attempts   int
	refusals   []time.Duration // the duration of each refused attempt
}

// run generates the load; it calls at when each second begins.
func (a arrivals) run(ctx context.Context, fleet *testfleet.Fleet, seed uint64, at func(second int)) []record {
	rng := rand.New(rand.NewPCG(seed, 1))
	caller := testcaller.New(apiKey)
	var records []record
	var mu sync.Mutex // protects records
	var work sync.WaitGroup
	start, second := time.Now(), -1
	for due := time.Duration(0); due < a.length; due += time.Duration(rng.ExpFloat64() / a.rate * float64(time.Second)) {
		for second < int(due.Seconds()) {
			second++
			at(second)
		}
		time.Sleep(due - time.Since(start))
		entry := fleet.Instances[rng.IntN(len(fleet.Instances))].EntryAddress
		unique := strconv.FormatUint(rng.Uint64(), 36)
		work.Go(func() {
			r := a.call(ctx, caller, entry, unique)
			r.at = due
			mu.Lock()
			defer mu.Unlock()
			records = append(records, r)
		})
	}
	work.Wait()
	return records
}

func (a arrivals) call(ctx context.Context, caller *testcaller.Caller, entry, unique string) record {
	chat := testcaller.Chat{
		Model: modelName, MaxTokens: a.answer, Seed: 1,
		Prompt: strings.Repeat(unique+" ", a.prompt*4/(len(unique)+1)),
		Header: http.Header{callerapi.HeaderDeadline: {strconv.FormatInt(a.waitBudget.Milliseconds(), 10)}},
	}
	r, started := record{}, time.Now()
	for r.attempts < a.attempts && !r.complete {
		r.attempts++
		tried := time.Now()
		answer, first := a.attempt(ctx, caller, entry, chat)
		if answer.Done {
			r.complete, r.firstToken = true, first.Sub(started)
			break
		}
		wait := 50 * time.Millisecond
		if answer.Error != nil {
			r.refusals = append(r.refusals, time.Since(tried))
			if seconds, err := strconv.Atoi(answer.RetryAfter); a.obeyRetryAfter && err == nil {
				wait = time.Duration(seconds) * time.Second
			}
		}
		if r.attempts < a.attempts {
			time.Sleep(wait)
		}
	}
	return r
}

// attempt sends one request, and disconnects if the first token does not come in time.
func (a arrivals) attempt(ctx context.Context, caller *testcaller.Caller, entry string, chat testcaller.Chat) (testcaller.Answer, time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(a.waitBudget, cancel)
	var first time.Time
	answer, err := caller.Stream(ctx, entry, chat, func(string, string) {
		if first.IsZero() {
			first = time.Now()
			timer.Stop()
		}
	})
	if err != nil {
		answer.Done = false
	}
	return answer, first
}

// goodput returns the complete answers per second to callers that arrived in a span of time and got the first
// token within the given time.
func goodput(records []record, from, to time.Duration, within time.Duration) float64 {
	n := 0
	for _, r := range records {
		if r.at >= from && r.at < to && r.complete && r.firstToken <= within {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
}

// unprotected admits everything and retries without limit.
const unprotected = `[admission]
early_refusal = false
limit_concurrency = false
backlog = "0s"
[retry]
budget_floor = 1e9
budget_max = 1e9
`

// BenchmarkOverload offers two entries twice the load that two engines can prefill: with early refusal and
// without, with delayed reports, and without the limit on the engines' backlog.
func BenchmarkOverload(b *testing.B) {
	for _, mode := range []struct {
		name, tables string
		lag          int // milliseconds
		seed         uint64
	}{
		{"all-guards/seed=5", "", 0, 5},
		{"all-guards/seed=6", "", 0, 6},
		{"all-guards/seed=7", "", 0, 7},
		{"no-backlog-bound/seed=5", "[admission]\nbacklog = \"0s\"\n", 0, 5},
		{"none/seed=5", unprotected, 0, 5},
		{"none/seed=6", unprotected, 0, 6},
		{"none/seed=7", unprotected, 0, 7},
		{"all-guards/lag=1s", "", 1000, 5},
		{"no-backlog-bound/lag=1s", "[admission]\nbacklog = \"0s\"\n", 1000, 5},
		{"all-guards/lag=5s", "", 5000, 5},
		{"no-backlog-bound/lag=5s", "[admission]\nbacklog = \"0s\"\n", 5000, 5},
	} {
		b.Run(mode.name, func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			fleet := startFleet(ctx, b, fleetOptions{
				instances: 2, engines: 2, entryTables: mode.tables,
				engineFlags: []string{"--prefill-rate", "4000", "--decode-rate", "100"},
			})
			for _, e := range fleet.Engines {
				setFaults(ctx, b, e, testservers.EngineFaults{ReportLagMs: mode.lag})
			}
			load := arrivals{rate: 32, length: 15 * time.Second, attempts: 1, waitBudget: time.Second, prompt: 500, answer: 20}
			for b.Loop() {
				records := load.run(ctx, fleet, mode.seed, func(int) {})
				var firsts, refusals []time.Duration
				for _, r := range records {
					refusals = append(refusals, r.refusals...)
					if r.complete {
						firsts = append(firsts, r.firstToken)
					}
				}
				b.ReportMetric(goodput(records, 0, load.length, load.waitBudget), "good/s")
				b.ReportMetric(quantile(firsts, 0.5), "p50-first-ms")
				b.ReportMetric(quantile(firsts, 0.99), "p99-first-ms")
				b.ReportMetric(quantile(refusals, 0.99), "p99-refusal-ms")
				b.ReportMetric(float64(len(refusals))/float64(len(records)), "refused")
			}
		})
	}
}

// Times of the retry storm.
const (
	stormFrom = 6 * time.Second
	stormTo   = 14 * time.Second
	stormEnd  = 24 * time.Second
)

// BenchmarkRetryStorm makes two of four engines fail for a while, under callers that retry up to four
// times. The engines are slowed down to an eighth, refuse requests, or crash every second.
func BenchmarkRetryStorm(b *testing.B) {
	noBudget := "[retry]\nbudget_floor = 1e9\nbudget_max = 1e9\n"
	slow, refuse, crash := testservers.EngineFaults{SlowFactor: 8}, testservers.EngineFaults{Refuse: true}, testservers.EngineFaults{Crash: true}
	for _, mode := range []struct {
		name, tables   string
		obeyRetryAfter bool
		faults         testservers.EngineFaults
	}{
		{"crash/all-guards", "", false, crash},
		{"crash/no-budget", noBudget, false, crash},
		{"crash/none", unprotected, false, crash},
		{"refuse/all-guards", "", false, refuse},
		{"refuse/no-budget", noBudget, false, refuse},
		{"refuse/none", unprotected, false, refuse},
		{"slow/all-guards", "", false, slow},
		{"slow/all-guards/callers-obey", "", true, slow},
		{"slow/none", unprotected, false, slow},
	} {
		b.Run(mode.name, func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			fleet := startFleet(ctx, b, fleetOptions{
				instances: 2, engines: 4, entryTables: mode.tables,
				engineFlags: []string{"--prefill-rate", "4000", "--decode-rate", "100"},
			})
			load := arrivals{rate: 16, length: stormEnd, attempts: 5, waitBudget: time.Second, obeyRetryAfter: mode.obeyRetryAfter, prompt: 500, answer: 20}
			for b.Loop() {
				records := load.run(ctx, fleet, 5, func(second int) {
					at := time.Duration(second) * time.Second
					if at < stormFrom || at > stormTo {
						return
					}
					faults := mode.faults
					if at == stormTo {
						faults = testservers.EngineFaults{}
					}
					setFaults(ctx, b, fleet.Engines[0], faults)
					setFaults(ctx, b, fleet.Engines[1], faults)
				})
				reportStorm(b, fleet, records)
			}
		})
	}
}

func reportStorm(b *testing.B, fleet *testfleet.Fleet, records []record) {
	attempts, never := 0, 0
	for _, r := range records {
		attempts += r.attempts
		if !r.complete {
			never++
		}
	}
	const within = time.Second
	b.ReportMetric(goodput(records, 0, stormFrom, within), "before/s")
	b.ReportMetric(goodput(records, stormFrom, stormTo, within), "during/s")
	b.ReportMetric(goodput(records, stormTo, stormTo+3*time.Second, within), "after-3s/s")
	b.ReportMetric(goodput(records, stormTo+3*time.Second, stormEnd, within), "after/s")
	b.ReportMetric(float64(attempts)/float64(len(records)), "attempts")
	b.ReportMetric(float64(never)/float64(len(records)), "never-whole")
	b.ReportMetric(float64(retriesOf(b, fleet)), "entry-retries")
}

func retriesOf(b *testing.B, fleet *testfleet.Fleet) int {
	total := 0
	for _, i := range fleet.Instances {
		total += gauge(b, i.EntryAddress, "entry.retries")
	}
	return total
}
