package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"sassafrasfield/platform/wire"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// theCase is one case: it returns the lines that break the rule. An error means that it could not run.
type theCase func(rec *record, dir string, trouble bool) (breaks []string, err error)

var cases = map[string]theCase{
	"silence": silence, "ids": ids, "storecut": storeCut, "lastanswer": lastAnswer, "midevent": midEvent, "slowrunner": slowRunner,
	"doubleslash": doubleSlash, "encodedslash": encodedSlash,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, in the root of the repository")
		return notRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	breaks, err := cases[os.Args[1]](rec, dir, trouble)
	if err != nil {
		rec.say("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
	for _, line := range breaks {
		rec.say("BROKEN: %s", line)
	}
	fmt.Printf("%d breaks\n", len(breaks))
	if len(breaks) > 0 {
		return broken
	}
	rec.say("the rule held")
	return held
}

// config has a streaming route that may be resumed, one that may not, and a safe one.
func config() wire.Config {
	stream := func(name string, resumable bool, attempts int) wire.Route {
		return wire.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: wire.KindStreaming, TimeoutMS: 15000, SLOMS: 800, ITLSLOMS: 400,
			Service: "ledger-llm", MaxAttempts: attempts, Resumable: resumable,
		}
	}
	return wire.Config{
		Routes: []wire.Route{
			stream("match", true, 2), stream("audit", false, 1),
			{Name: "status", Host: host, Prefix: "/status/", Kind: wire.KindSafe, TimeoutMS: 2500, SLOMS: 150, Service: "bale-api", MaxAttempts: 2},
			{Name: "label", Host: host, Prefix: "/label/", Kind: wire.KindUnsafe, TimeoutMS: 2500, SLOMS: 150, Service: "bale-api", MaxAttempts: 1},
		},
		Services: []wire.Service{
			{Name: "ledger-llm", HealthPath: "/healthz", MaxConns: 370, Engine: &wire.Engine{
				Slots: 64, KVTokens: 370000, TokenBytes: 163840, LinkMbps: 12000000, Stride: 4, KVHoldS: 5, RoleSwitchS: roleSwitch.Seconds(),
			}},
			{Name: "bale-api", HealthPath: "/healthz", MaxConns: 110},
		},
		Limits: wire.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMS: 3000, IdleMS: 15000},
	}
}

// patience is how long callers of the streaming routes wait for an event: the longest of two seconds, four times the
// objective and eight times the pause.
const patience = 3200 * time.Millisecond

// addModels starts model runners, the zones by turns; the first ones prefill.
func (f *fleet) addModels(zones []string, n, prefill int, version string, host0 int, plan streamPlan) ([]*runner, error) {
	var list []*runner
	for i := range n {
		r := &runner{
			id: fmt.Sprintf("m%s-%d", version, host0+i), service: "ledger-llm", zone: zones[i%len(zones)], version: version, store: f.store, rec: f.rec,
			address: fmt.Sprintf("%s.%d:8080", f.base, host0+i), phase: wire.PhaseDecode, plan: plan,
		}
		if i < prefill {
			r.phase = wire.PhasePrefill
		}
		if err := r.start(); err != nil {
			return list, err
		}
		list = append(list, r)
	}
	return list, nil
}

func (f *fleet) addPlain(zones []string, n, host0 int, callTime time.Duration) ([]*runner, error) {
	var list []*runner
	for i := range n {
		r := &runner{
			id: fmt.Sprintf("app-%d", host0+i), service: "bale-api", zone: zones[i%len(zones)], version: "v1", store: f.store, rec: f.rec,
			address: fmt.Sprintf("%s.%d:8080", f.base, host0+i), callTime: callTime,
		}
		if err := r.start(); err != nil {
			return list, err
		}
		list = append(list, r)
	}
	return list, nil
}

// phases returns how many runners prefill.
func phases(list []*runner) int {
	n := 0
	for _, r := range list {
		if r.currentPhase() == wire.PhasePrefill {
			n++
		}
	}
	return n
}

// settle waits until the runners' phases have not changed for a while.
func settle(list []*runner) {
	last, since := phases(list), time.Now()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && time.Since(since) < 6*time.Second; {
		time.Sleep(100 * time.Millisecond)
		if now := phases(list); now != last {
			last, since = now, time.Now()
		}
	}
}

// logResult writes what a caller saw.
func (r *record) logResult(x result) {
	last := 0
	if len(x.events) > 0 {
		last = x.events[len(x.events)-1]
	}
	r.say("caller %s: sent at %.3f, status %d, %d bytes, %d events, last %d, whole %t, left by itself %t, after %.3f s, error %v",
		x.id, x.sent.Sub(r.start).Seconds(), x.status, x.bytes, len(x.events), last, x.complete, x.left, x.ended.Sub(x.sent).Seconds(), x.err)
}

func signalProcess(in *instance, s syscall.Signal) error { return in.cmd.Process.Signal(s) }
