package gossip_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
	"sassafrasfield/internal/versions"
)

// callerKey is the API key of the one organisation.
const callerKey = "key-of-agedim"

// rig is a fleet of three instances with links that can be cut, and a service
// with one upstream. Version 1 of the configuration names the upstream "old",
// later versions name "new".
type rig struct {
	t      *testing.T
	ctx    context.Context
	fleet  *testfleet.Fleet
	links  *testfleet.Links
	caller *testcaller.Caller
}

func newRig(t *testing.T) *rig {
	t.Helper()
	t.Parallel()
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
	t.Cleanup(cancel)
	r := &rig{t: t, ctx: ctx, fleet: testfleet.New(bin, t.TempDir()), caller: testcaller.New(callerKey)}
	t.Cleanup(r.fleet.Stop)
	r.must(r.fleet.StartPlatform(ctx))
	for _, id := range []string{"old", "new"} {
		_, err := r.fleet.AddService(ctx, id, "zona-4")
		r.must(err)
	}
	r.links = testfleet.NewLinks(r.fleet)
	t.Cleanup(r.links.Close)
	r.fleet.ControlExtra = "platform_timeout = \"300ms\"\n"
	r.fleet.ControlTables = `[spread]
poll_every = "200ms"
exchange_every = "100ms"
peer_timeout = "300ms"
fresh_for = "2s"
accept_within = "500ms"
read_lag = "50ms"
list_lag = "1s"
list_every = "200ms"
apply_every = "100ms"
`
	for i := range 3 {
		_, err := r.links.AddInstance(ctx, fmt.Sprintf("inst-%d", i+1), "zona-4")
		r.must(err)
	}
	r.until("each instance knows its peers", func() bool { return r.links.PeerLinkCount() == 6 })
	r.commitVersion(1, "old")
	for i, instance := range r.fleet.Instances {
		r.untilServes(i, "old")
		r.until("the instance counts in a majority", func() bool {
			return strings.Contains(probe(instance.ControlAddress, "/metrics"), `"spread.voter":{"value":1}`)
		})
	}
	return r
}

func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// until waits for a condition. On a timeout, it logs the daemons' logs and fails
// the test.
func (r *rig) until(what string, condition func() bool) {
	r.t.Helper()
	if err := testfleet.Until(r.ctx, what, condition); err != nil {
		for _, i := range r.fleet.Instances {
			r.t.Logf("%s control:\n%s", i.ID, i.Control.Log())
		}
		r.t.Fatal(err)
	}
}

func (r *rig) document(version int64, upstream string) *config.Config {
	sum := sha256.Sum256([]byte(callerKey))
	doc := &config.Config{Version: version, Intent: version}
	doc.Organisations = []config.Organisation{{Name: "agedim", KeyHashes: []string{hex.EncodeToString(sum[:])}}}
	svc := config.Service{Name: "studio", Prefix: "/studio"}
	for _, s := range r.fleet.Services {
		if s.ID == upstream {
			svc.Upstreams = append(svc.Upstreams, config.ServiceUpstream{ID: s.ID, Address: s.Address, Zone: s.Zone})
		}
	}
	doc.Services = []config.Service{svc}
	return doc
}

// commitVersion writes a version to the table, as an accepted one.
func (r *rig) commitVersion(version int64, upstream string) {
	r.t.Helper()
	log := versions.Log{Table: r.fleet.PlatformClient()}
	head, err := log.Head(r.ctx)
	r.must(err)
	r.must(log.Append(r.ctx, head, r.document(version, upstream), versions.Entry{Author: "test"}, platform.Txn{}))
}

// request sends a request to an instance. It returns the upstream that ran the
// request, or the reason if the instance refused it.
func (r *rig) request(instance int) (upstream, refused string) {
	client := http.Client{Timeout: 5 * time.Second}
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+r.fleet.Instances[instance].EntryAddress+"/studio/x", nil)
	r.must(err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	res, err := client.Do(req)
	if err != nil {
		return "", err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	r.must(err)
	if res.StatusCode != http.StatusOK {
		return "", string(body)
	}
	for _, id := range []string{"old", "new"} {
		if strings.Contains(string(body), `"`+id+`"`) {
			return id, ""
		}
	}
	return string(body), ""
}

func (r *rig) untilServes(instance int, upstream string) {
	r.t.Helper()
	r.until(fmt.Sprintf("instance %d serves with upstream %s", instance+1, upstream), func() bool {
		got, _ := r.request(instance)
		return got == upstream
	})
}

func (r *rig) untilRefuses(instance int, reason string) {
	r.t.Helper()
	last := ""
	r.until(fmt.Sprintf("instance %d refuses: %s", instance+1, reason), func() bool {
		_, last = r.request(instance)
		return strings.Contains(last, reason)
	})
	if !strings.Contains(last, `"outcome":"not_run"`) {
		r.t.Errorf("the refusal lacks the outcome not_run: %s", last)
	}
}

// TestVersionReachesInstanceWithoutTable checks that peers send a new version to an
// instance that cannot reach the table.
func TestVersionReachesInstanceWithoutTable(t *testing.T) {
	r := newRig(t)
	r.must(r.links.CutPlatform("inst-3"))
	r.commitVersion(2, "new")
	for i := range 3 {
		r.untilServes(i, "new")
	}
}

// TestVersionReachesInstanceWithoutPeers checks that an instance that cannot reach
// its peers loads a new version from the table, and serves.
func TestVersionReachesInstanceWithoutPeers(t *testing.T) {
	for _, direction := range []testfleet.Direction{testfleet.ToUpstream, testfleet.FromUpstream} {
		t.Run(string(direction), func(t *testing.T) {
			r := newRig(t)
			r.must(r.links.CutPeers("inst-3", direction))
			r.commitVersion(2, "new")
			r.untilServes(2, "new")
		})
	}
}

// TestInstanceWithoutTableAndPeersRefuses guards against an isolated instance that
// serves an old version: it can't know that version 2 exists.
func TestInstanceWithoutTableAndPeersRefuses(t *testing.T) {
	r := newRig(t)
	r.must(r.links.CutPlatform("inst-3"))
	r.must(r.links.CutPeers("inst-3", testfleet.ToUpstream))
	r.commitVersion(2, "new")
	r.untilServes(0, "new")
	r.untilRefuses(2, "may be out of date")
	r.links.Heal()
	r.untilServes(2, "new")
}

// TestInstanceThatOnlyReceivesRequestsRefuses guards against an instance that
// treats requests from peers as proof that its version is current. Such requests
// may be old; only answers are proof, and in this test they are cut. A new version
// must still arrive once the links are restored.
func TestInstanceThatOnlyReceivesRequestsRefuses(t *testing.T) {
	r := newRig(t)
	r.must(r.links.CutPlatform("inst-3"))
	r.must(r.links.CutOutgoing("inst-3"))
	r.untilRefuses(2, "may be out of date")
	r.commitVersion(2, "new")
	r.links.Heal()
	r.untilServes(2, "new")
}

// TestTableDownForAllServesOn checks that all instances keep serving while the
// table is down for all: a majority answers, and no instance can accept a new
// version.
func TestTableDownForAllServesOn(t *testing.T) {
	r := newRig(t)
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{Down: true}))
	ended := time.Now().Add(3 * time.Second) // longer than fresh_for
	r.until("the evidence from the table has expired", func() bool { return time.Now().After(ended) })
	for i := range 3 {
		control := r.fleet.Instances[i].Control
		r.until("freshness comes from the majority", func() bool {
			return strings.Contains(probe(r.fleet.Instances[i].ControlAddress, "/readyz"), "by majority")
		})
		if strings.Contains(control.Log(), "may be out of date") {
			t.Errorf("inst-%d was temporarily not fresh:\n%s", i+1, control.Log())
		}
		if upstream, refused := r.request(i); upstream != "old" {
			t.Errorf("instance %d: %q %s", i+1, upstream, refused)
		}
	}
}

// TestMinorityWithTableAcceptsNothing guards against a minority that accepts a
// version through the table. A majority may be serving without the table, and
// would not learn of the new version.
func TestMinorityWithTableAcceptsNothing(t *testing.T) {
	r := newRig(t)
	r.must(r.links.CutPlatform("inst-2"))
	r.must(r.links.CutPlatform("inst-3"))
	r.must(r.links.CutPeers("inst-1", testfleet.ToUpstream))
	for _, i := range []int{1, 2} {
		r.until("the majority keeps serving", func() bool {
			return strings.Contains(probe(r.fleet.Instances[i].ControlAddress, "/readyz"), "by majority")
		})
	}
	outcome := r.confirm(0)
	if outcome.Outcome != "refused" || !strings.Contains(outcome.Reason, "1 of 3 listed answer, 2 are needed") {
		t.Errorf("the minority's confirmation: %v", outcome)
	}
	r.untilServes(0, "old")
	r.links.Heal()
	r.until("a healed fleet accepts", func() bool { return r.confirm(0).Outcome == "accepted" })
}

// confirm declares an intent at an instance and confirms it.
func (r *rig) confirm(instance int) *sfv1.ConfirmResponse {
	r.t.Helper()
	client := sfv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+r.fleet.Instances[instance].ControlAddress)
	intent := "name = \"share\"\n[[organisation]]\nname = \"agedim\"\nshare = 2.0\n"
	declared, err := client.Declare(r.ctx, connect.NewRequest(&sfv1.DeclareRequest{File: "share.toml", Intent: []byte(intent), Operator: "test"}))
	r.must(err)
	if declared.Msg.PlanId == "" {
		r.t.Fatalf("not declared: %v", declared.Msg.Findings)
	}
	confirmed, err := client.Confirm(r.ctx, connect.NewRequest(&sfv1.ConfirmRequest{PlanId: declared.Msg.PlanId, Operator: "test"}))
	r.must(err)
	return confirmed.Msg
}

// TestFrozenInstanceNeverServesOldVersion stops both daemons of an instance while a
// version is accepted. After they continue, they must refuse requests or serve the
// new version.
func TestFrozenInstanceNeverServesOldVersion(t *testing.T) {
	r := newRig(t)
	frozen := r.fleet.Instances[2]
	frozen.Entry.Signal(syscall.SIGSTOP)
	frozen.Control.Signal(syscall.SIGSTOP)
	r.commitVersion(2, "new")
	r.untilServes(0, "new")
	untilOld := time.Now().Add(2 * time.Second) // fresh_for
	r.until("the frozen instance's evidence has expired", func() bool { return time.Now().After(untilOld) })
	answers := make(chan string, 20)
	for range cap(answers) {
		go func() {
			upstream, _ := r.request(2)
			answers <- upstream
		}()
	}
	frozen.Entry.Signal(syscall.SIGCONT)
	frozen.Control.Signal(syscall.SIGCONT)
	for range cap(answers) {
		if upstream := <-answers; upstream == "old" {
			t.Error("a request was served with the old version after the freeze")
		}
	}
	r.untilServes(2, "new")
}

// TestBufferedHeartbeatDoesNotProveFreshness guards against an sf-entry that was
// stopped and serves an old version because of a buffered heartbeat: sf-control's
// last heartbeat waits in its socket while a version is accepted.
func TestBufferedHeartbeatDoesNotProveFreshness(t *testing.T) {
	r := newRig(t)
	frozen := r.fleet.Instances[2]
	frozen.Entry.Signal(syscall.SIGSTOP)
	sent := time.Now().Add(500 * time.Millisecond) // several of apply_every
	r.until("a heartbeat was sent to the stopped entry", func() bool { return time.Now().After(sent) })
	frozen.Control.Signal(syscall.SIGSTOP)
	r.commitVersion(2, "new")
	r.untilServes(0, "new")
	ended := time.Now().Add(2 * time.Second) // fresh_for
	r.until("the evidence has expired", func() bool { return time.Now().After(ended) })
	frozen.Entry.Signal(syscall.SIGCONT)
	for range 20 {
		if upstream, _ := r.request(2); upstream == "old" {
			t.Fatal("a request was served with the old version because of a buffered heartbeat")
		}
	}
	frozen.Control.Signal(syscall.SIGCONT)
	r.untilServes(2, "new")
}

// TestStartWithTableDown checks that an instance that starts while the table is down
// gets the version from its peers, which it finds through seeds. An instance
// without seeds must report why it is not ready.
func TestStartWithTableDown(t *testing.T) {
	r := newRig(t)
	seeds := fmt.Sprintf("seeds = [%q, %q]\n", r.fleet.Instances[0].ControlAddress, r.fleet.Instances[1].ControlAddress)
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{Down: true}))
	isolated, err := r.links.AddInstance(r.ctx, "inst-4", "zona-4")
	r.must(err)
	reason := ""
	r.until("an instance without peers says why it is not ready", func() bool {
		reason = probe(isolated.ControlAddress, "/readyz")
		return strings.Contains(reason, "no configuration known yet") && strings.Contains(reason, "unavailable")
	})
	r.fleet.ControlTables += seeds
	seeded, err := r.links.AddInstance(r.ctx, "inst-5", "zona-4")
	r.must(err)
	r.untilServes(4, "old")
	if !strings.Contains(seeded.Control.Log(), "members: instance list received from a peer") {
		t.Errorf("log of the seeded instance:\n%s", seeded.Control.Log())
	}
}

// probe returns a daemon's answer to a GET request, or "" on an error.
func probe(address, path string) string {
	res, err := http.Get("http://" + address + path)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body) // a truncated answer does not fail the test
	return string(body)
}

// TestStaleReadsNeverLowerVersion guards against a return to version 1 when the
// table's stale reads are older than version 2. One instance is also restarted.
func TestStaleReadsNeverLowerVersion(t *testing.T) {
	r := newRig(t)
	r.commitVersion(2, "new")
	for i := range 3 {
		r.untilServes(i, "new")
	}
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{StaleReadMs: 600_000}))
	restarted := r.fleet.Instances[2]
	restarted.Control.Kill()
	restarted.Entry.Kill()
	r.must(r.fleet.StartEntry(restarted))
	r.must(r.fleet.StartControl(restarted))
	r.untilServes(2, "new")
	for i, instance := range r.fleet.Instances {
		if log := instance.Control.Log(); strings.LastIndex(log, "version=1") > strings.LastIndex(log, "version=2") {
			t.Errorf("instance %d returned to version 1:\n%s", i+1, log)
		}
	}
}

// TestDrainingUpstreamGetsNoRequestsWithListDown checks that an announcement of the
// platform reaches all instances through peers: only one instance read it before
// the instance list went down for all.
func TestDrainingUpstreamGetsNoRequestsWithListDown(t *testing.T) {
	r := newRig(t)
	r.must(r.links.CutPlatform("inst-2"))
	r.must(r.links.CutPlatform("inst-3"))
	r.must(r.fleet.SetInstance(r.ctx, platform.Instance{ID: "old", Kind: platform.KindUpstream, Zone: "zona-4", State: platform.InstanceShuttingDown}))
	r.untilRefuses(0, "not_run")
	r.must(r.links.CutPlatform("inst-1"))
	for i := range 3 {
		r.untilRefuses(i, "not_run")
	}
	r.must(r.fleet.SetInstance(r.ctx, platform.Instance{ID: "old", Kind: platform.KindUpstream, Zone: "zona-4", State: platform.InstanceLive}))
	r.links.Heal()
	for i := range 3 {
		r.untilServes(i, "old")
	}
}

// TestUnresponsiveInstanceIsListed checks that the response that `sfctl instances`
// shows contains a listed instance that does not answer, marked as unreachable.
func TestUnresponsiveInstanceIsListed(t *testing.T) {
	r := newRig(t)
	r.fleet.Instances[2].Control.Signal(syscall.SIGSTOP)
	defer r.fleet.Instances[2].Control.Signal(syscall.SIGCONT)
	client := sfv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+r.fleet.Instances[0].ControlAddress)
	response, err := client.Instances(r.ctx, connect.NewRequest(&sfv1.InstancesRequest{}))
	r.must(err)
	shown := map[string]bool{}
	for _, row := range response.Msg.Instances {
		shown[row.Id] = row.Reachable
	}
	if want := map[string]bool{"inst-1": true, "inst-2": true, "inst-3": false}; fmt.Sprint(shown) != fmt.Sprint(want) {
		t.Errorf("reachable: %v, want %v", shown, want)
	}
}
