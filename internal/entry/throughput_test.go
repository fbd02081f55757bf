package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/testservers"
)

// benchServer returns an entry with one fast engine; the test process serves both.
func benchServer(b *testing.B) (server *Server, url string) {
	b.Helper()
	state := config.EngineState{Model: "m", Version: "1", Role: config.RoleMixed}
	engine := httptest.NewServer(testservers.NewEngine(testservers.EngineOptions{
		ID: "e", Initial: state, PrefillRate: 1e9, PrefillBudget: 1 << 20, DecodeRate: 1e6,
		MaxRunning: 256, KVBlocks: 1 << 20, BlockTokens: 16,
	}).Handler())
	b.Cleanup(engine.Close)
	settings := DefaultSettings()
	settings.Instance, settings.Zone, settings.Platform = "inst-1", "hall-a", "127.0.0.1:1"
	server = New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	sum := sha256.Sum256([]byte("key"))
	server.state.apply(&config.Config{
		Version: 1, Models: []config.Model{{Name: "m", Version: "1"}},
		Engines: []config.Engine{{
			ID: "e", Address: strings.TrimPrefix(engine.URL, "http://"), Pool: "p", Zone: "hall-a",
			Loaded: state, Routing: config.RoutingServing,
		}},
		Organisations: []config.Organisation{{Name: "o", KeyHashes: []string{hex.EncodeToString(sum[:])}}},
	}, nil, freshHeartbeat())
	front := httptest.NewServer(server.handler())
	b.Cleanup(front.Close)
	return server, front.URL
}

func freshHeartbeat() heartbeat {
	now := bootclock.Now()
	return heartbeat{at: now, version: 1, freshUntil: now + time.Hour}
}

func ask(b *testing.B, url string, tokens int) {
	b.Helper()
	body := `{"model":"m","stream":true,"seed":7,"max_tokens":` + strconv.Itoa(tokens) + `,"messages":[{"role":"user","content":"which bales share a field?"}]}`
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Fatalf("status %d, error %v", res.StatusCode, err)
	}
}

// BenchmarkTokens streams answers of 400 tokens and reports the time per token, with the entry, the
// simulated engine and the caller in one process.
func BenchmarkTokens(b *testing.B) {
	server, url := benchServer(b)
	const tokens = 400
	for b.Loop() {
		server.state.apply(nil, nil, freshHeartbeat())
		ask(b, url, tokens)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

// BenchmarkReport measures the read of one load report.
func BenchmarkReport(b *testing.B) {
	server, url := benchServer(b)
	for range 64 {
		ask(b, url, 1)
	}
	e := server.state.watched()[0]
	for b.Loop() {
		server.readReport(b.Context(), e)
	}
}
