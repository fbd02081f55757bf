package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/loadgen"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
)

// OverheadOptions describe a measurement of one entry.
type OverheadOptions struct {
	Bin, Dir, Out string
	Log           io.Writer
}

// Overhead is what one entry costs.
type Overhead struct {
	// Direct and ThroughEntry are the times to the first token, one request
	// at a time, the two ways in turn.
	Direct       loadgen.Quantiles `json:"direct_first_token_ms"`
	ThroughEntry loadgen.Quantiles `json:"entry_first_token_ms"`
	// RequestsPerCoreSecond are requests with one token over the entry's
	// processor time, TokensPerCoreSecond tokens of long answers.
	RequestsPerCoreSecond float64 `json:"requests_per_core_second"`
	TokensPerCoreSecond   float64 `json:"tokens_per_core_second"`
	// TokensPerSecond came through the entry in the run for
	// TokensPerCoreSecond; DirectTokensPerSecond without it.
	TokensPerSecond       float64 `json:"tokens_per_second"`
	DirectTokensPerSecond float64 `json:"direct_tokens_per_second"`
	// Memory is the entry's resident memory by open streams.
	Memory []StreamMemory `json:"memory"`
}

// StreamMemory is resident memory with a number of open streams.
type StreamMemory struct {
	Streams  int   `json:"streams"`
	Resident int64 `json:"resident_bytes"`
	// PerStream is what each stream added to the resident memory.
	PerStream int64 `json:"per_stream_bytes"`
}

// Sizes of the measurement.
const (
	overheadSamples   = 1000
	overheadParallel  = 64
	overheadTime      = 4 * time.Second
	overheadTokens    = 400
	overheadModel     = "provenance"
	overheadOpenTimes = 2
	overheadOpen      = 1000
)

// overheadKey is the API key of the measurement's organisation.
const overheadKey = "overhead-key"

// overhead is one measurement under way.
type overhead struct {
	fleet  *fleet
	caller *testcaller.Caller
	direct *engine.Client
	sent   atomic.Int64
}

// measure does the runs, one after the other.
func (o OverheadOptions) measure(ctx context.Context) (Overhead, error) {
	var result Overhead
	fast := []string{"--prefill-rate", "1e7", "--prefill-budget", "100000", "--decode-rate", "500", "--step-per-stream", "0s", "--max-running", "256"}
	m, err := startOverhead(ctx, o, "fast", fast)
	if err != nil {
		return result, err
	}
	defer m.fleet.Stop()
	if result.Direct, result.ThroughEntry, err = m.latency(ctx); err != nil {
		return result, err
	}
	requests, cpu, _ := m.saturate(ctx, 1, m.throughEntry)
	result.RequestsPerCoreSecond = float64(requests) / cpu
	tokens, cpu, elapsed := m.saturate(ctx, overheadTokens, m.throughEntry)
	result.TokensPerCoreSecond = float64(tokens) / cpu
	result.TokensPerSecond = float64(tokens) / elapsed.Seconds()
	tokens, _, elapsed = m.saturate(ctx, overheadTokens, m.straight)
	result.DirectTokensPerSecond = float64(tokens) / elapsed.Seconds()
	m.fleet.Stop()
	result.Memory, err = o.memory(ctx)
	return result, err
}

func (o OverheadOptions) write(result Overhead) error {
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errors.Wrap(err, "bench: encode")
	}
	fmt.Fprintln(o.Log, string(data))
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(filepath.Join(o.Out, "overhead.json"), data, 0o644))
}

// MeasureOverhead measures one entry against a direct connection to the
// engine, in one run, and writes overhead.json.
func MeasureOverhead(ctx context.Context, o OverheadOptions) error {
	result, err := o.measure(ctx)
	if err != nil {
		return err
	}
	return o.write(result)
}

func startOverhead(ctx context.Context, o OverheadOptions, name string, engineFlags []string) (*overhead, error) {
	f, err := start(ctx, plan{
		bin: o.Bin, dir: filepath.Join(o.Dir, name), zones: []string{"hall-a"}, model: overheadModel,
		keys: []string{overheadKey}, entries: 1, apart: 1, engineFlags: engineFlags, entryTables: admitAll,
	})
	if err != nil {
		return nil, err
	}
	caller := testcaller.New(overheadKey)
	return &overhead{
		fleet: f, caller: caller,
		direct: engine.NewClient(f.doc.Engines[0].Address, time.Minute),
	}, nil
}

// way asks for an answer of some tokens and reads it whole; first is called at
// the first token, unless it is nil.
type way func(ctx context.Context, tokens int, first func()) error

// throughEntry asks the entry.
func (m *overhead) throughEntry(ctx context.Context, tokens int, first func()) error {
	n := m.sent.Add(1)
	chat := testcaller.Chat{Model: overheadModel, Prompt: fmt.Sprintf("question %d", n), MaxTokens: tokens, Seed: n}
	answer, err := m.caller.Stream(ctx, m.fleet.entries[0].address, chat, func(string, string) {
		if first != nil {
			first()
			first = nil
		}
	})
	if err == nil && !answer.Done {
		return errors.Errorf("answer not whole: status %d", answer.Status)
	}
	return err
}

// straight asks the engine.
func (m *overhead) straight(ctx context.Context, tokens int, first func()) error {
	n := m.sent.Add(1)
	source, err := m.direct.Generate(ctx, engine.Request{
		ID: fmt.Sprintf("direct-%d", n), Model: overheadModel, Prompt: fmt.Sprintf("question %d", n), MaxTokens: tokens, Seed: n,
	})
	if err != nil {
		return err
	}
	defer source.Close()
	for {
		piece, err := source.Next()
		if err != nil {
			return err
		}
		if first != nil {
			first()
			first = nil
		}
		if piece.Finish != "" {
			return nil
		}
	}
}

// latency measures both ways in turn.
func (m *overhead) latency(ctx context.Context) (direct, through loadgen.Quantiles, err error) {
	histograms := [2]*hdrhistogram.Histogram{}
	for i, ask := range []way{m.straight, m.throughEntry} {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		_ = ask(ctx, 1, nil) // opens the connection
	}
	for range overheadSamples {
		for i, ask := range []way{m.straight, m.throughEntry} {
			started := time.Now()
			var took time.Duration
			if err := ask(ctx, 1, func() { took = time.Since(started) }); err != nil {
				return direct, through, err
			}
			_ = histograms[i].RecordValue(took.Microseconds()) // a minute at most
		}
	}
	return loadgen.QuantilesOf(histograms[0]), loadgen.QuantilesOf(histograms[1]), nil
}

// saturate has many callers ask for a time, and returns the tokens that came,
// the entry's processor time and the time.
func (m *overhead) saturate(ctx context.Context, tokens int, ask way) (came int64, cpu float64, elapsed time.Duration) {
	pid := m.fleet.entries[0].process.Pid()
	before, started := usageOf(pid).cpu, time.Now()
	var total atomic.Int64
	var work sync.WaitGroup
	for range overheadParallel {
		work.Go(func() {
			for time.Since(started) < overheadTime && ctx.Err() == nil {
				if ask(ctx, tokens, nil) == nil {
					total.Add(int64(tokens))
				}
			}
		})
	}
	work.Wait()
	return total.Load(), usageOf(pid).cpu - before, time.Since(started)
}

// memory opens slow streams and reads the entry's resident memory.
func (o OverheadOptions) memory(ctx context.Context) ([]StreamMemory, error) {
	slow := []string{"--prefill-rate", "1e7", "--prefill-budget", "1000000", "--decode-rate", "1", "--step-per-stream", "0s", "--max-running", "10000", "--kv-blocks", "10000000"}
	m, err := startOverhead(ctx, o, "slow", slow)
	if err != nil {
		return nil, err
	}
	defer m.fleet.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resident := func() int64 { return usageOf(m.fleet.entries[0].process.Pid()).resident }
	memory := []StreamMemory{{Resident: resident()}}
	var open atomic.Int64
	for n := 1; n <= overheadOpenTimes; n++ {
		for range overheadOpen {
			go func() { _ = m.throughEntry(ctx, overheadTokens, func() { open.Add(1) }) }() // ends with the measurement
		}
		want := int64(n * overheadOpen)
		if err := testfleet.Until(ctx, "all streams are open", func() bool { return open.Load() == want }); err != nil {
			return nil, err
		}
		now := resident()
		memory = append(memory, StreamMemory{Streams: int(want), Resident: now, PerStream: (now - memory[0].Resident) / want})
	}
	return memory, nil
}
