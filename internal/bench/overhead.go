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

// OverheadOptions configures a measurement of one entry.
type OverheadOptions struct {
	Bin, Dir, Out string
	Log           io.Writer
}

// Overhead is the measured cost of one entry.
type Overhead struct {
	// Direct and ThroughEntry are the times to the first token without and with the entry. Requests are sent
	// one at a time, alternating between both.
	Direct       loadgen.Quantiles `json:"direct_first_token_ms"`
	ThroughEntry loadgen.Quantiles `json:"entry_first_token_ms"`
	// RequestsPerCoreSecond is the number of one-token requests divided by the entry's processor time.
	// TokensPerCoreSecond is the same for the tokens of long responses.
	RequestsPerCoreSecond float64 `json:"requests_per_core_second"`
	TokensPerCoreSecond   float64 `json:"tokens_per_core_second"`
	// TokensPerSecond is the throughput through the entry in the run that measured TokensPerCoreSecond,
	// DirectTokensPerSecond the throughput without the entry.
	TokensPerSecond       float64 `json:"tokens_per_second"`
	DirectTokensPerSecond float64 `json:"direct_tokens_per_second"`
	// Memory is the resident memory of the entry by number of open streams.
	Memory []StreamMemory `json:"memory"`
}

// StreamMemory is the resident memory of the entry with a number of open streams.
type StreamMemory struct {
	Streams  int   `json:"streams"`
	Resident int64 `json:"resident_bytes"`
	// PerStream is the resident memory that each stream added.
	PerStream int64 `json:"per_stream_bytes"`
}

// Sizes of the measurement.
const (
	overheadSamples       = 1000
	overheadParallel      = 64
	overheadDuration      = 4 * time.Second
	overheadTokens        = 400
	overheadModel         = "provenance"
	overheadMemorySamples = 2
	overheadStreams       = 1000
)

// overheadKey is the API key of the organisation that sends the requests.
const overheadKey = "overhead-key"

// overhead is the state of a measurement.
type overhead struct {
	fleet  *fleet
	caller *testcaller.Caller
	direct *engine.Client
	sent   atomic.Int64
}

// measure performs all runs, one after the other.
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
	requests, cpu, _ := m.saturate(ctx, 1, m.viaEntry)
	result.RequestsPerCoreSecond = float64(requests) / cpu
	tokens, cpu, elapsed := m.saturate(ctx, overheadTokens, m.viaEntry)
	result.TokensPerCoreSecond = float64(tokens) / cpu
	result.TokensPerSecond = float64(tokens) / elapsed.Seconds()
	tokens, _, elapsed = m.saturate(ctx, overheadTokens, m.directly)
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

// MeasureOverhead compares one entry with a direct connection to the engine, in one run, and writes
// overhead.json.
func MeasureOverhead(ctx context.Context, o OverheadOptions) error {
	result, err := o.measure(ctx)
	if err != nil {
		return err
	}
	return o.write(result)
}

func startOverhead(ctx context.Context, o OverheadOptions, name string, engineFlags []string) (*overhead, error) {
	f, err := start(ctx, fleetPlan{
		bin: o.Bin, dir: filepath.Join(o.Dir, name), zones: []string{"hall-a"}, model: overheadModel,
		keys: []string{overheadKey}, entries: 1, separate: 1, engineFlags: engineFlags, entryTables: admitAll,
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

// requestFunc requests a response of some tokens and reads it completely. It calls first at the first token,
// unless first is nil.
type requestFunc func(ctx context.Context, tokens int, first func()) error

// viaEntry sends the request to the entry.
func (m *overhead) viaEntry(ctx context.Context, tokens int, first func()) error {
	n := m.sent.Add(1)
	chat := testcaller.Chat{Model: overheadModel, Prompt: fmt.Sprintf("question %d", n), MaxTokens: tokens, Seed: n}
	answer, err := m.caller.Stream(ctx, m.fleet.entries[0].address, chat, func(string, string) {
		if first != nil {
			first()
			first = nil
		}
	})
	if err == nil && !answer.Done {
		return errors.Errorf("incomplete response: status %d", answer.Status)
	}
	return err
}

// directly sends the request to the engine.
func (m *overhead) directly(ctx context.Context, tokens int, first func()) error {
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

// latency measures the time to the first token both ways, alternating between them.
func (m *overhead) latency(ctx context.Context) (direct, through loadgen.Quantiles, err error) {
	histograms := [2]*hdrhistogram.Histogram{}
	for i, send := range []requestFunc{m.directly, m.viaEntry} {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		_ = send(ctx, 1, nil) // opens the connection
	}
	for range overheadSamples {
		for i, send := range []requestFunc{m.directly, m.viaEntry} {
			started := time.Now()
			var elapsed time.Duration
			if err := send(ctx, 1, func() { elapsed = time.Since(started) }); err != nil {
				return direct, through, err
			}
			_ = histograms[i].RecordValue(elapsed.Microseconds()) // requests take at most a minute
		}
	}
	return loadgen.QuantilesOf(histograms[0]), loadgen.QuantilesOf(histograms[1]), nil
}

// saturate sends requests from many callers for a period. It returns the tokens received, the entry's
// processor time and the elapsed time.
func (m *overhead) saturate(ctx context.Context, tokens int, send requestFunc) (received int64, cpu float64, elapsed time.Duration) {
	pid := m.fleet.entries[0].process.Pid()
	before, started := usageOf(pid).cpu, time.Now()
	var total atomic.Int64
	var work sync.WaitGroup
	for range overheadParallel {
		work.Go(func() {
			for time.Since(started) < overheadDuration && ctx.Err() == nil {
				if send(ctx, tokens, nil) == nil {
					total.Add(int64(tokens))
				}
			}
		})
	}
	work.Wait()
	return total.Load(), usageOf(pid).cpu - before, time.Since(started)
}

// memory opens slow streams and measures the entry's resident memory.
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
	for n := 1; n <= overheadMemorySamples; n++ {
		for range overheadStreams {
			go func() { _ = m.viaEntry(ctx, overheadTokens, func() { open.Add(1) }) }() // the context ends it after the measurement
		}
		want := int64(n * overheadStreams)
		if err := testfleet.Until(ctx, "all streams are open", func() bool { return open.Load() == want }); err != nil {
			return nil, err
		}
		now := resident()
		memory = append(memory, StreamMemory{Streams: int(want), Resident: now, PerStream: (now - memory[0].Resident) / want})
	}
	return memory, nil
}
