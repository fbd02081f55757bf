package control

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/testservers"
	"sassafrasfield/internal/versions"
)

// countingConn counts the bytes of a client's connections in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingTransport counts the calls to peers, and the bytes of its
// connections.
type countingTransport struct {
	*http.Transport
	calls *atomic.Int64
}

func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.calls.Add(1)
	return t.Transport.RoundTrip(req)
}

func newCountingTransport(bytes, calls *atomic.Int64) *countingTransport {
	t := &countingTransport{Transport: peerTransport(), calls: calls}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, bytes}, err
	}
	return t
}

// benchFleet is a set of sf-control daemons in one process, connected through
// loopback addresses.
type benchFleet struct {
	b           *testing.B
	daemons     []*Daemon
	table       *platform.Client
	sent, calls atomic.Int64
	version     int64
	engines     int
}

func newBenchFleet(b *testing.B, n, engines int) *benchFleet {
	b.Helper()
	platformServer := testservers.NewPlatform(1e9)
	server := httptest.NewServer(platformServer.Handler())
	b.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	f := &benchFleet{b: b, table: platform.NewClient(address, 10*time.Second), engines: engines}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for i := range n {
		s := DefaultSettings()
		s.Instance, s.Zone, s.Platform = fmt.Sprintf("inst-%03d", i), fmt.Sprintf("zone-%02d", i%12), address
		s.Listen, s.EntryLocal = fmt.Sprintf("127.%d.%d.%d:7300", 100+os.Getpid()%100, os.Getpid()/100%250, 1+i), "127.0.0.1:1"
		d, err := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			b.Fatal(err)
		}
		d.http = &http.Client{Timeout: time.Second, Transport: newCountingTransport(&f.sent, &f.calls)}
		f.daemons = append(f.daemons, d)
		f.registerInstance(address, s)
	}
	for _, d := range f.daemons {
		go func() {
			if err := d.Run(ctx); err != nil && ctx.Err() == nil {
				b.Error(err)
			}
		}()
	}
	f.appendVersion()
	f.waitForVersion()
	return f
}

func (f *benchFleet) registerInstance(address string, s *Settings) {
	body := fmt.Sprintf(`{"id":%q,"kind":"own","zone":%q,"state":"live","control":%q}`, s.Instance, s.Zone, s.Listen)
	res, err := http.Post("http://"+address+testservers.PathSetInstance, "application/json", strings.NewReader(body))
	if err != nil {
		f.b.Fatal(err)
	}
	res.Body.Close()
}

// appendVersion appends a version to the table and gives it to the first
// daemon.
func (f *benchFleet) appendVersion() {
	f.version++
	doc := targetDocument(f.engines, f.version)
	doc.Pools = nil // without pools there are no leases, so only the distribution is measured
	log := versions.Log{Table: f.table}
	head, err := log.Head(context.Background())
	if err != nil {
		f.b.Fatal(err)
	}
	if err := log.Append(context.Background(), head, doc, versions.Entry{}, platform.Txn{}); err != nil {
		f.b.Fatal(err)
	}
	f.daemons[0].adoptConfig(doc, "self")
}

// waitForVersion waits until all daemons hold the version, and returns the
// sorted times that they took.
func (f *benchFleet) waitForVersion() []time.Duration {
	start := time.Now()
	times := make([]time.Duration, len(f.daemons))
	for done := 0; done < len(times) && !f.b.Failed(); time.Sleep(time.Millisecond) {
		for i, d := range f.daemons {
			if times[i] == 0 && d.holder.Current().Version >= f.version {
				times[i] = time.Since(start)
				done++
			}
		}
	}
	slices.Sort(times)
	return times
}

// targetDocument returns a document with the shape of the target fleet: 31
// models and 220 organisations.
func targetDocument(engines int, version int64) *config.Config {
	doc := &config.Config{Version: version, Intent: version}
	for m := range 31 {
		name := fmt.Sprintf("model-%02d", m)
		doc.Models = append(doc.Models, config.Model{Name: name, Version: "2026-11-30", Adapters: []string{"grades", "fields"}})
		for region := range 3 {
			doc.Pools = append(doc.Pools, config.Pool{Name: fmt.Sprintf("%s-r%d", name, region), Model: name, Region: fmt.Sprintf("region-%d", region), MinServing: 4})
		}
	}
	for e := range engines {
		state := config.EngineState{Model: fmt.Sprintf("model-%02d", e%31), Version: "2026-11-30", Adapters: []string{"grades", "fields"}, Role: config.RoleMixed}
		doc.Engines = append(doc.Engines, config.Engine{
			ID: fmt.Sprintf("engine-%04d", e), Address: fmt.Sprintf("10.%d.%d.%d:8000", e%3, e/250, e%250),
			Zone: fmt.Sprintf("zone-%02d", e%12), Pool: fmt.Sprintf("model-%02d-r%d", e%31, e%3), Fencing: config.FencingRefuse,
			Want: state, Loaded: state, Routing: config.RoutingServing, RoutingSince: 1,
		})
	}
	if engines > 0 { // the change of this version
		changed := &doc.Engines[int(version)%engines]
		changed.Routing, changed.RoutingSince = config.RoutingDraining, version
	}
	for o := range 220 {
		doc.Organisations = append(doc.Organisations, config.Organisation{
			Name: fmt.Sprintf("organisation-%03d", o), KeyHashes: []string{fmt.Sprintf("%x", sha256.Sum256([]byte{byte(o)}))},
			RequestsPerSecond: 50, Burst: 100, Share: 1,
		})
	}
	return doc
}

// BenchmarkSpread measures the distribution of versions between real daemons.
// Run it with -benchtime 1x; each line is the result of one window.
func BenchmarkSpread(b *testing.B) {
	const window = 12 * time.Second
	for _, n := range []int{9, 50, 200} {
		for _, perMinute := range []int{0, 10} {
			b.Run(fmt.Sprintf("daemons=%d/changes=%d", n, perMinute), func(b *testing.B) {
				f := newBenchFleet(b, n, 0)
				time.Sleep(2 * time.Second) // lets the daemons open their first connections
				for range b.N {
					f.measure(window, perMinute)
				}
			})
		}
	}
}

// measure reports the bytes, calls and latencies of one window.
func (f *benchFleet) measure(window time.Duration, perMinute int) {
	polls := metrics.GetOrRegisterCounter("spread.head_reads", metrics.DefaultRegistry)
	sent, calls, reads := f.sent.Load(), f.calls.Load(), polls.Count()
	var times []time.Duration
	end := time.Now().Add(window)
	for perMinute > 0 && time.Now().Before(end) {
		f.appendVersion()
		times = append(times, f.waitForVersion()...)
		time.Sleep(time.Minute / time.Duration(perMinute))
	}
	time.Sleep(time.Until(end))
	per := window.Seconds() * float64(len(f.daemons))
	f.b.ReportMetric(2*float64(f.sent.Load()-sent)/per, "bytes/s/daemon")
	f.b.ReportMetric(2*float64(f.calls.Load()-calls)/per, "calls/s/daemon")
	f.b.ReportMetric(float64(polls.Count()-reads)/window.Seconds(), "head-reads/s")
	f.b.ReportMetric(0, "ns/op")
	if len(times) > 0 {
		slices.Sort(times)
		f.b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median-ms")
		f.b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "worst-ms")
	}
}

// BenchmarkChange measures the cost of one change in addition to the idle
// traffic, with the target document.
func BenchmarkChange(b *testing.B) {
	for _, engines := range []int{20, 400, 1900} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := newBenchFleet(b, 9, engines)
			time.Sleep(time.Second)
			b.ReportMetric(float64(len(targetDocument(engines, 1).Encode())), "document-bytes")
			f.measure(12*time.Second, 20)
		})
	}
}

// BenchmarkDocumentSize reports the size of the target document, plain and
// compressed as connect sends it.
func BenchmarkDocumentSize(b *testing.B) {
	for _, engines := range []int{20, 400, 1900} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			doc := targetDocument(engines, 1000)
			data := doc.Encode()
			var packed bytes.Buffer
			for b.Loop() {
				packed.Reset()
				w := gzip.NewWriter(&packed)
				_, _ = w.Write(doc.Encode()) // a buffer never fails
				_ = w.Close()
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(packed.Len()), "gzip-bytes")
		})
	}
}

// BenchmarkDocumentDecode measures the time to decode a document.
func BenchmarkDocumentDecode(b *testing.B) {
	data := targetDocument(1900, 1000).Encode()
	for b.Loop() {
		if _, err := config.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
