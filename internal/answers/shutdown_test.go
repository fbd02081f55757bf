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

// backgroundLoad sends requests of each kind until it is stopped, and fails the test if a request does not
// get its complete answer.
type backgroundLoad struct {
	f     *fixture
	b     *testfleet.Balancer
	chat  testcaller.Chat
	want  string
	lots  sync.Map
	count atomic.Int64
}

func (l *backgroundLoad) stream() {
	address := l.b.Pick()
	answer, err := l.f.caller.Stream(l.f.ctx, address, l.chat, nil)
	if err != nil || !answer.Done || answer.Text != l.want {
		l.f.t.Errorf("stream at %s: error %v, answer %+v", address, err, answer)
	}
}

func (l *backgroundLoad) completion() {
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": 20}`, modelName, prompt)
	address := l.b.Pick()
	res, err := l.f.caller.Post(l.f.ctx, address, "/v1/completions", nil, []byte(body))
	if err != nil {
		l.f.t.Errorf("completion at %s: %v", address, err)
		return
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		l.f.t.Errorf("completion at %s: status %d", address, res.StatusCode)
	}
}

func (l *backgroundLoad) certificate() {
	lot := fmt.Sprintf("lot %d", l.count.Load())
	address := l.b.Pick()
	if got := l.f.issueCertificate(address, lot, lot); got.Status != http.StatusOK {
		l.f.t.Errorf("certificate at %s: %+v", address, got)
	}
	time.Sleep(20 * time.Millisecond) // limits the rate of writes to the table
	l.lots.Store(lot, true)
}

// run starts the load. The returned group is done after stop is closed and the last requests have finished.
func (l *backgroundLoad) run(stop <-chan struct{}) *sync.WaitGroup {
	var work sync.WaitGroup
	for _, request := range []func(){l.stream, l.stream, l.stream, l.completion, l.completion, l.certificate} {
		work.Go(func() {
			for !isClosed(stop) && !l.f.t.Failed() {
				request()
				l.count.Add(1)
			}
		})
	}
	return &work
}

// TestRollingRestartLosesNoRequest restarts both daemons of each instance, one instance after the other,
// under load through a balancer that learns of changes with a delay. Each request must get its complete
// answer.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 3, engines: 2, services: 1, engineFlags: []string{"--decode-rate", "100"},
		entrySettings: "stale_after = \"20s\"\n",
	})
	b := testfleet.NewBalancer(300*time.Millisecond, f.Instances[0].EntryAddress, f.Instances[1].EntryAddress, f.Instances[2].EntryAddress)
	go b.Run(f.ctx)
	stopLoad := make(chan struct{})
	f.waitUntil("the balancer sends to all instances", func() bool {
		return b.SendsTo(f.Instances[0].EntryAddress) && b.SendsTo(f.Instances[1].EntryAddress) && b.SendsTo(f.Instances[2].EntryAddress)
	})
	c := newChat(21, 60)
	l := &backgroundLoad{f: f, b: b, chat: c, want: expectedText(c)}
	work := l.run(stopLoad)
	for _, i := range f.Instances {
		before := l.count.Load()
		f.waitUntil("the load continues", func() bool { return l.count.Load() > before+5 || t.Failed() })
		f.stopGracefully(i.Entry)
		f.stopGracefully(i.Control)
		f.must(f.StartControl(i))
		f.must(f.StartEntry(i))
		f.waitUntil("the balancer sends again", func() bool { return b.SendsTo(i.EntryAddress) })
	}
	close(stopLoad)
	work.Wait()
	runs := f.certificateRunsByLot()
	l.lots.Range(func(lot, _ any) bool {
		if runs[lot.(string)] != 1 {
			t.Errorf("%s: %d runs", lot, runs[lot.(string)])
		}
		return true
	})
	t.Logf("%d requests, %d certificates", l.count.Load(), len(runs))
}

// stopGracefully sends SIGTERM and waits for the process, which must exit without an error.
func (f *fixture) stopGracefully(p *testfleet.Process) {
	f.t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Done():
	case <-f.ctx.Done():
		f.t.Fatalf("%s did not exit", p.Name)
	}
	if err := p.Err(); err != nil {
		f.t.Errorf("%s exited with %v: %s", p.Name, err, p.Log())
	}
}

// TestShutdownTimeoutTellsCallerToResume shuts an entry down during an answer that takes longer than the
// shutdown timeout. The caller must be told to resume, and the other instance must attach to the stream,
// which the engine continues.
func TestShutdownTimeoutTellsCallerToResume(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 2, engines: 2, engineFlags: []string{"--decode-rate", "40"},
		entrySettings: "shutdown_timeout = \"300ms\"\n",
	})
	c := newChat(23, 100)
	first := f.streamAnswer(f.Instances[0].EntryAddress, c, 5, func(string) { f.Instances[0].Entry.Signal(syscall.SIGTERM) })
	if first.Error == nil || first.Error.Code != "instance_stopping" {
		t.Fatalf("got %+v", first.Error)
	}
	resumed := c
	resumed.LastEventID = first.LastID
	rest := f.streamAnswer(f.Instances[1].EntryAddress, resumed, 0, nil)
	rest.Text = first.Text + rest.Text
	f.wantComplete("resumed", rest, expectedText(c))
	if started := f.engineRecord(0).Started + f.engineRecord(1).Started; started != 1 {
		t.Errorf("%d streams were started, want 1", started)
	}
}
