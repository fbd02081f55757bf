package forward

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sassafrasfield/internal/attempt"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/rawserver"
	"sassafrasfield/internal/relay"
)

// fakeInstances knows a fixed set of instances.
type fakeInstances struct {
	self     peers.Peer
	zone     []peers.Peer
	contacts map[string][]peers.Peer
	strange  bool // the sender's address is not known
}

func (f fakeInstances) Self() peers.Peer                      { return f.self }
func (f fakeInstances) ZoneTargets(uint32) []peers.Peer       { return f.zone }
func (f fakeInstances) ZoneContacts() map[string][]peers.Peer { return f.contacts }
func (f fakeInstances) KnowsHost(string) bool                 { return !f.strange }

// fakeRelay answers with a function and records what it got.
type fakeRelay struct {
	serve func(ctx context.Context, w http.ResponseWriter) error

	mu  sync.Mutex // protects got
	got []*relay.Forwarded
}

func (f *fakeRelay) Reaches(uint32) bool { return true }

func (f *fakeRelay) ServeForwarded(ctx context.Context, r *relay.Forwarded, w http.ResponseWriter) (attempt.History, error) {
	f.mu.Lock()
	f.got = append(f.got, r)
	f.mu.Unlock()
	return attempt.History{Arrivals: 1, Prefilled: true}, f.serve(ctx, w)
}

// fakeTable is a table with one row.
type fakeTable struct {
	mu    sync.Mutex // protects value
	value []byte
}

func (f *fakeTable) Get(context.Context, string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.value == nil {
		return platform.Row{}, platform.ErrNotFound
	}
	return platform.Row{Value: f.value, Revision: 1}, nil
}

func (f *fakeTable) List(context.Context, string) ([]platform.Row, error) { return nil, nil }

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.value != nil {
		return 0, platform.ErrConflict
	}
	f.value = txn.Writes[0].Value
	return 1, nil
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startServer starts the receiving side and returns its instance.
func startServer(t *testing.T, name string, r Relay, known Instances, table platform.Table) peers.Peer {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewServer(known, NewSecret(table, discardLogger()), r, discardLogger()).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return peers.Peer{Name: name, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "a"}
}

func newClient(to ...peers.Peer) *Client {
	return NewClient(fakeInstances{self: peers.Peer{Name: "self", Address: "127.0.0.1:1", Zone: "a"}, zone: to}, NewSecret(&fakeTable{}, discardLogger()))
}

func request() *relay.Forwarded {
	return &relay.Forwarded{
		Request: &relay.Request{
			ID: "r1", Method: "POST", Host: "h", Path: "/p", Target: "/p?q=1", Header: http.Header{"X-Id": {"r1"}, "Authorization": {"Bearer k"}},
			Body: []byte("body"), LastEvent: "7", Resumes: "r0", Prompt: &placement.Prompt{Tokens: 9, MaxOutput: 3, Parts: []placement.Part{{ID: "x", Tokens: 4}}},
		},
		Service: 5, Timeout: 2 * time.Second, Elapsed: 300 * time.Millisecond, ConfigVersion: 12, UsageCounted: true, Version: "v1.1",
		History: attempt.History{Arrivals: 2, Paid: 1, Runs: 1, Prefilled: true},
	}
}

// TestRequestArrivesAsItWasSent guards against requests that change on their way through another instance.
func TestRequestArrivesAsItWasSent(t *testing.T) {
	r := &fakeRelay{serve: func(_ context.Context, w http.ResponseWriter) error {
		w.Header().Set("X-Stamp", "s")
		w.(interface{ SetVersion(string) }).SetVersion("v1.1")
		w.WriteHeader(http.StatusTeapot)
		_, err := io.WriteString(w, "answer")
		return err
	}}
	to := startServer(t, "peer", r, fakeInstances{}, &fakeTable{})
	name, reply, err := newClient(to).Forward(context.Background(), request(), nil)
	if err != nil || name != "peer" {
		t.Fatal(name, err)
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil || string(body) != "answer" || reply.Status != http.StatusTeapot || reply.Version != "v1.1" || reply.Header.Get("X-Stamp") != "s" {
		t.Errorf("%d %v %q, %v", reply.Status, reply.Header, body, err)
	}
	got, want := r.got[0], request()
	sent, received := want.Request, got.Request
	if received.ID != sent.ID || received.Method != sent.Method || received.Host != sent.Host || received.Path != sent.Path ||
		received.Target != sent.Target || string(received.Body) != "body" || received.LastEvent != "7" || received.Resumes != "r0" || received.Header.Get("X-Id") != "r1" {
		t.Errorf("%+v", received)
	}
	if p := received.Prompt; p == nil || p.Tokens != 9 || p.MaxOutput != 3 || len(p.Parts) != 1 || p.Parts[0] != sent.Prompt.Parts[0] {
		t.Errorf("%+v", p)
	}
	if got.History != want.History || got.Service != 5 || got.Timeout != want.Timeout || got.Elapsed != want.Elapsed ||
		got.ConfigVersion != 12 || !got.UsageCounted || got.Version != "v1.1" || got.From != "self" {
		t.Errorf("%+v", got)
	}
}

// TestRefusalIsPassedOn guards against refusals that lose whether the request ran and when to come back.
func TestRefusalIsPassedOn(t *testing.T) {
	for _, want := range []relay.Refusal{
		{Outcome: relay.NotRun, Reason: "limits", RetryIn: 250 * time.Millisecond},
		{Outcome: relay.NotRun, Reason: "no path", Elsewhere: true},
		{Outcome: relay.Unknown, Reason: "no whole answer"}, {Outcome: relay.TimedOut, Reason: "timed out"},
		{Outcome: relay.OverQuota, Reason: "quota", RetryIn: time.Second}, {Outcome: relay.NoRoute}, {Outcome: relay.Unauthenticated},
	} {
		to := startServer(t, "peer", &fakeRelay{serve: func(context.Context, http.ResponseWriter) error { return &want }}, fakeInstances{}, &fakeTable{})
		_, _, err := newClient(to).Forward(context.Background(), request(), nil)
		var refused *relay.PeerRefusal
		if !errors.As(err, &refused) || *refused.Refusal != want || refused.History.Arrivals != 1 || !refused.History.Prefilled {
			t.Errorf("%+v: %v", want, err)
		}
	}
}

// TestTruncatedAnswerIsNotComplete guards against an answer that breaks off at the other instance, or on the way,
// and looks complete.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	for name, end := range map[string]func() error{
		"aborted": func() error { return relay.ErrAnswerAborted },
		"crashed": func() error { panic(http.ErrAbortHandler) },
	} {
		to := startServer(t, "peer", &fakeRelay{serve: func(_ context.Context, w http.ResponseWriter) error {
			_, _ = io.WriteString(w, "part") // a failure shows in the test's answer
			return end()
		}}, fakeInstances{}, &fakeTable{})
		_, reply, err := newClient(to).Forward(context.Background(), request(), nil)
		if err != nil {
			t.Fatal(name, err)
		}
		if body, err := io.ReadAll(reply.Body); !errors.Is(err, io.ErrUnexpectedEOF) || string(body) != "part" {
			t.Errorf("%s: %q, %v", name, body, err)
		}
		reply.Body.Close()
	}
}

// TestSupersededAnswerIsToldFromABrokenOne guards against an instance that goes on with a stream elsewhere although its caller has taken
// the stream up by another attempt.
func TestSupersededAnswerIsToldFromABrokenOne(t *testing.T) {
	for want, end := range map[bool]error{true: relay.ErrSuperseded, false: relay.ErrAnswerAborted} {
		r := &fakeRelay{serve: func(_ context.Context, w http.ResponseWriter) error {
			_, _ = io.WriteString(w, "part") // the reader shows the result
			return end
		}}
		_, reply, err := newClient(startServer(t, "peer", r, fakeInstances{}, &fakeTable{})).Forward(context.Background(), request(), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(reply.Body)
		if string(body) != "part" || err == nil || errors.Is(err, relay.ErrSuperseded) != want {
			t.Errorf("superseded %t: %q, %v", want, body, err)
		}
		reply.Body.Close()
	}
}

// TestCallerThatLeavesEndsTheWork guards against work at upstreams for a caller of another instance that has left.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	ended := make(chan struct{})
	to := startServer(t, "peer", &fakeRelay{serve: func(ctx context.Context, w http.ResponseWriter) error {
		_, _ = io.WriteString(w, "part") // a failure shows in the test's answer
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	}}, fakeInstances{}, &fakeTable{})
	ctx, cancel := context.WithCancel(context.Background())
	_, reply, err := newClient(to).Forward(ctx, request(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(reply.Body, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	cancel()
	reply.Body.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the work goes on")
	}
}

// TestCallerThatLeavesBlamesNoInstance guards against an instance that gets no requests for a second because the caller of
// one left before the instance had an answer.
func TestCallerThatLeavesBlamesNoInstance(t *testing.T) {
	to := startServer(t, "peer", &fakeRelay{serve: func(ctx context.Context, _ http.ResponseWriter) error {
		<-ctx.Done()
		return ctx.Err()
	}}, fakeInstances{}, &fakeTable{})
	c := newClient(to)
	c.targets.recordReached("another", false)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for !c.targets.hasReachedAll() { // until the instance has accepted the request
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, _, err := c.Forward(ctx, request(), nil); !errors.Is(err, relay.ErrNoValidAnswer) {
		t.Errorf("%v", err)
	}
	if !c.Available(5) {
		t.Error("the instance is avoided")
	}
}

// hasReachedAll reports whether no instance counts as unreached.
func (t *targets) hasReachedAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unreached) == 0
}

// TestUnreachedInstanceIsTriedNoMore guards against requests that wait for an instance that is gone, and against
// "may have run" for what was never sent.
func TestUnreachedInstanceIsTriedNoMore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := peers.Peer{Name: "gone", Address: listener.Addr().String(), Zone: "a"}
	listener.Close()
	c := newClient(gone)
	if _, _, err := c.Forward(context.Background(), request(), nil); !errors.Is(err, relay.ErrNotSent) {
		t.Errorf("%v", err)
	}
	if _, _, err := c.Forward(context.Background(), request(), nil); !errors.Is(err, relay.ErrNoInstance) || c.Available(5) {
		t.Errorf("%v, available: %v", err, c.Available(5))
	}
}

// TestFrozenInstanceLosesRepeatableRequest guards against repeatable requests that wait for an instance that stands
// still. Other requests wait, because they cannot be sent again.
func TestFrozenInstanceLosesRepeatableRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // connections are established, and nobody reads
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	frozen := peers.Peer{Name: "frozen", Address: listener.Addr().String(), Zone: "a"}
	for _, repeatable := range []bool{true, false} {
		ctx, cancel := context.WithTimeout(context.Background(), 3*acceptTimeout)
		f := request()
		f.Repeatable = repeatable
		_, _, err = newClient(frozen).Forward(ctx, f, nil)
		if !errors.Is(err, relay.ErrNoValidAnswer) || errors.Is(err, relay.ErrNotSent) || (ctx.Err() == nil) != repeatable {
			t.Errorf("repeatable %v: %v, waited to the end: %v", repeatable, err, ctx.Err() != nil)
		}
		cancel()
	}
}

// TestOnlyInstancesMayForward guards against requests that others send past the callers' front address.
func TestOnlyInstancesMayForward(t *testing.T) {
	table := &fakeTable{}
	r := &fakeRelay{serve: func(_ context.Context, w http.ResponseWriter) error { w.WriteHeader(http.StatusOK); return nil }}
	to := startServer(t, "peer", r, fakeInstances{strange: true}, table)
	c := newClient(to) // its table is another one, so that its secret is wrong
	if _, _, err := c.Forward(context.Background(), request(), nil); !errors.Is(err, relay.ErrNotSent) || len(r.got) != 0 {
		t.Errorf("a stranger: %v, %d requests", err, len(r.got))
	}
	if _, err := c.listInstances(context.Background(), to, 5); connect.CodeOf(err) != connect.CodePermissionDenied {
		t.Errorf("a stranger gets a list: %v", err)
	}
	c = newClient(to)
	c.secret = NewSecret(table, discardLogger())
	if _, reply, err := c.Forward(context.Background(), request(), nil); err != nil {
		t.Errorf("an instance: %v", err)
	} else {
		reply.Body.Close()
	}
}

// TestInvalidRequestIsRejected guards against messages of another version, or of nobody, that reach an upstream.
func TestInvalidRequestIsRejected(t *testing.T) {
	r := &fakeRelay{serve: func(context.Context, http.ResponseWriter) error { return nil }}
	to := startServer(t, "peer", r, fakeInstances{}, &fakeTable{})
	client := sfv1connect.NewForwardServiceClient(http.DefaultClient, "http://"+to.Address)
	for name, change := range map[string]func(*sfv1.ForwardRequest){
		"nothing": func(m *sfv1.ForwardRequest) { *m = sfv1.ForwardRequest{} },
		"no id":   func(m *sfv1.ForwardRequest) { m.Id = "" },
		"no time": func(m *sfv1.ForwardRequest) { m.TimeoutMs = 0 },
	} {
		m := requestToMessage(peers.Peer{Name: "self"}, request())
		change(m)
		stream, err := client.Forward(context.Background(), connect.NewRequest(m))
		if err == nil {
			stream.Receive()
			err = stream.Err()
			stream.Close()
		}
		if connect.CodeOf(err) != connect.CodeInvalidArgument || len(r.got) != 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// envelope frames a message of an answer.
func envelope(t *testing.T, m *sfv1.ForwardResponse) string {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data)))) + string(data)
}

// TestAnswerEndedByTheConnectionIsNotComplete guards against a stream that passes for whole because the process that
// forwards it was killed between two events: the kernel ends its connection as it ends any other.
func TestAnswerEndedByTheConnectionIsNotComplete(t *testing.T) {
	answer := envelope(t, &sfv1.ForwardResponse{}) + envelope(t, &sfv1.ForwardResponse{Header: &sfv1.ForwardHeader{Status: http.StatusOK}}) +
		envelope(t, &sfv1.ForwardResponse{Data: []byte("part")})
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\n"
	for name, sent := range map[string]string{
		"no framing":                                head + "\r\n" + answer,
		"length that ends at an event":              head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(answer)) + answer,
		"last chunk after an event":                 head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(answer)) + answer + "\r\n0\r\n\r\n",
		"end of the call without one of the answer": head + "\r\n" + answer + "\x02\x00\x00\x00\x02{}",
	} {
		to := peers.Peer{Name: "peer", Address: rawserver.Start(t, sent), Zone: "a"}
		_, reply, err := newClient(to).Forward(context.Background(), request(), nil)
		if err != nil {
			t.Fatal(name, err)
		}
		if body, err := io.ReadAll(reply.Body); !errors.Is(err, io.ErrUnexpectedEOF) || string(body) != "part" {
			t.Errorf("%s: %q, %v", name, body, err)
		}
		reply.Body.Close()
	}
}

// TestCutAnswerOfAnInstanceIsNotWhole guards against an answer that another instance passes on, is cut within its head or one of
// its messages, and passes for whole or for a request that was not sent.
func TestCutAnswerOfAnInstanceIsNotWhole(t *testing.T) {
	messages := envelope(t, &sfv1.ForwardResponse{}) +
		envelope(t, &sfv1.ForwardResponse{Header: &sfv1.ForwardHeader{Status: http.StatusOK, Version: "v1"}}) +
		envelope(t, &sfv1.ForwardResponse{Data: []byte("whole")}) +
		envelope(t, &sfv1.ForwardResponse{End: &sfv1.ForwardEnd{History: &sfv1.ForwardHistory{Arrivals: 1}}})
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\n"
	for name, whole := range map[string]string{
		"unframed": head + "\r\n" + messages,
		"length":   fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(messages), messages),
		"chunks":   fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(messages), messages),
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				for cut := range whole {
					script := rawserver.Script{Answer: whole[:cut], Reset: reset}
					to := peers.Peer{Name: "peer", Address: rawserver.StartScript(t, func() rawserver.Script { return script }), Zone: "a"}
					if body, err := forwardWhole(to); err == nil || !errors.Is(err, relay.ErrNoValidAnswer) || errors.Is(err, relay.ErrNotSent) {
						t.Errorf("cut after %q: %q, %v", whole[max(0, cut-20):cut], body, err)
					}
				}
				to := peers.Peer{Name: "peer", Address: rawserver.Start(t, whole), Zone: "a"}
				if body, err := forwardWhole(to); err != nil || body != "whole" {
					t.Errorf("not cut: %q, %v", body, err)
				}
			})
		}
	}
}

// forwardWhole forwards a request to an instance and reads the whole answer.
func forwardWhole(to peers.Peer) (string, error) {
	_, reply, err := newClient(to).Forward(context.Background(), request(), nil)
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return string(body), relay.WrapReadError(err)
	}
	return string(body), nil
}

// TestCutListOfInstancesIsNoList guards against a list of instances that was cut off and passes for a shorter or an empty one.
func TestCutListOfInstancesIsNoList(t *testing.T) {
	list, err := proto.Marshal(&sfv1.ListInstancesResponse{Instances: []*sfv1.ReplicaPeer{
		peers.PeerToMessage(peers.Peer{Name: "b", Address: "127.0.0.1:2", Zone: "b"}), peers.PeerToMessage(peers.Peer{Name: "c", Address: "127.0.0.1:3", Zone: "b"}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	for cut := range whole {
		to := peers.Peer{Name: "peer", Address: rawserver.Start(t, whole[:cut]), Zone: "b"}
		if got, err := newClient().listInstances(context.Background(), to, 5); err == nil {
			t.Errorf("cut at byte %d: %v", cut, got)
		}
	}
	if got, err := newClient().listInstances(context.Background(), peers.Peer{Name: "peer", Address: rawserver.Start(t, whole)}, 5); err != nil || len(got) != 2 {
		t.Errorf("not cut: %v, %v", got, err)
	}
}
