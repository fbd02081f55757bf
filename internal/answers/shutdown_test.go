package answers

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
)

// load sends requests of each kind until stop is closed, and reports each that
// did not get its whole answer.
type load struct {
	f     *fixture
	b     *testfleet.Balancer
	chat  testcaller.Chat
	want  string
	lots  sync.Map
	count atomic.Int64
}

func (l *load) stream() {
	address := l.b.Pick()
	answer, err := l.f.caller.Stream(l.f.ctx, address, l.chat, nil)
	if err != nil || !answer.Done || answer.Text != l.want {
		l.f.t.Errorf("a stream at %s: %v, %+v", address, err, answer)
	}
}

func (l *load) whole() {
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": 20}`, modelName, prompt)
	address := l.b.Pick()
	res, err := l.f.caller.Post(l.f.ctx, address, "/v1/completions", nil, []byte(body))
	if err != nil {
		l.f.t.Errorf("a completion at %s: %v", address, err)
		return
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		l.f.t.Errorf("a completion at %s: status %d", address, res.StatusCode)
	}
}

func (l *load) certificate() {
	lot := fmt.Sprintf("lot %d", l.count.Load())
	address := l.b.Pick()
	if got := l.f.issue(address, lot, lot); got.Status != http.StatusOK {
		l.f.t.Errorf("a certificate at %s: %+v", address, got)
	}
	time.Sleep(20 * time.Millisecond) // the table has its limits
	l.lots.Store(lot, true)
}

func (l *load) run(stop <-chan struct{}) *sync.WaitGroup {
	var work sync.WaitGroup
	for _, request := range []func(){l.stream, l.stream, l.stream, l.whole, l.whole, l.certificate} {
		work.Go(func() {
			for !ended(stop) && !l.f.t.Failed() {
				request()
				l.count.Add(1)
			}
		})
	}
	return &work
}

// TestRollingRestartLosesNothing restarts both daemons of each instance, one
// instance after the other, under load that comes through a balancer whose
// view lags. Each request gets its whole answer.
func TestRollingRestartLosesNothing(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 3, engines: 2, services: 1, engineFlags: []string{"--decode-rate", "100"},
		entrySettings: "stale_after = \"20s\"\n",
	})
	b := testfleet.NewBalancer(300*time.Millisecond, f.Instances[0].EntryAddress, f.Instances[1].EntryAddress, f.Instances[2].EntryAddress)
	go b.Run(f.ctx)
	stopLoad := make(chan struct{})
	f.until("the balancer knows all", func() bool {
		return b.SendsTo(f.Instances[0].EntryAddress) && b.SendsTo(f.Instances[1].EntryAddress) && b.SendsTo(f.Instances[2].EntryAddress)
	})
	c := chat(21, 60)
	l := &load{f: f, b: b, chat: c, want: undisturbedText(c)}
	work := l.run(stopLoad)
	for _, i := range f.Instances {
		before := l.count.Load()
		f.until("the load goes on", func() bool { return l.count.Load() > before+5 || t.Failed() })
		f.stopGently(i.Entry)
		f.stopGently(i.Control)
		f.must(f.StartControl(i))
		f.must(f.StartEntry(i))
		f.until("the balancer sends again", func() bool { return b.SendsTo(i.EntryAddress) })
	}
	close(stopLoad)
	work.Wait()
	runs := f.allRuns()
	l.lots.Range(func(lot, _ any) bool {
		if runs[lot.(string)] != 1 {
			t.Errorf("%s: %d runs", lot, runs[lot.(string)])
		}
		return true
	})
	t.Logf("%d requests, %d certificates", l.count.Load(), len(runs))
}

// stopGently sends SIGTERM and waits for the process, which must end well.
func (f *fixture) stopGently(p *testfleet.Process) {
	f.t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Done():
	case <-f.ctx.Done():
		f.t.Fatalf("%s did not end", p.Name)
	}
	if err := p.Err(); err != nil {
		f.t.Errorf("%s ended with %v: %s", p.Name, err, p.Log())
	}
}

// TestShutdownTimeout: an answer that is longer than the shutdown timeout is
// told to resume, and another instance attaches to it; its engine goes on.
func TestShutdownTimeout(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 2, engines: 2, engineFlags: []string{"--decode-rate", "40"},
		entrySettings: "shutdown_timeout = \"300ms\"\n",
	})
	c := chat(23, 100)
	first := f.stream(f.Instances[0].EntryAddress, c, 5, func(string) { f.Instances[0].Entry.Signal(syscall.SIGTERM) })
	if first.Error == nil || first.Error.Code != "instance_stopping" {
		t.Fatalf("told %+v", first.Error)
	}
	resumed := c
	resumed.LastEventID = first.LastID
	rest := f.stream(f.Instances[1].EntryAddress, resumed, 0, nil)
	rest.Text = first.Text + rest.Text
	f.wantWhole("resumed", rest, undisturbedText(c))
	if started := f.engineBook(0).Started + f.engineBook(1).Started; started != 1 {
		t.Errorf("%d streams were started, want 1", started)
	}
}
