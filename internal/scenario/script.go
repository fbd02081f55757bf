package scenario

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sassafrasfield/internal/testfleet"
)

// scriptTimeout bounds the duration of one script.
const scriptTimeout = 100 * time.Second

// maxParallelScripts bounds the number of fleets that run at the same time.
const maxParallelScripts = 3

// stateKey is the key of the script state in testscript's environment.
type stateKey struct{}

// script is the state of one running script.
type script struct {
	ctx     context.Context
	harness *Harness
	// via is the id of the instance that sfctl connects to.
	via string
	// streams are the streamed answers that the script has started, by name.
	streams map[string]*streamedAnswer
}

// Params returns the parameters with which testscript runs the scripts in dir with the programs in bin. The
// commands are listed in testdata/README.md.
func Params(dir, bin string) testscript.Params {
	slots := make(chan struct{}, maxParallelScripts)
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			return setUp(env, bin, func() { <-slots })
		},
		Cmds: commands(),
	}
}

// Commands returns the names of the script commands, in no particular order.
func Commands() []string {
	var names []string
	for name := range commands() {
		names = append(names, name)
	}
	return names
}

func setUp(env *testscript.Env, bin string, release func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	dir := filepath.Join(env.WorkDir, ".fleet")
	if err := os.Mkdir(dir, 0o755); err != nil {
		cancel()
		return err
	}
	h := New(bin, dir)
	h.EngineFlags = []string{"--change-time", "200ms", "--load-time", "100ms"}
	h.Fleet.EntryExtra = "balancer_lag = \"100ms\"\n"
	h.Fleet.EntryTables = "[engine]\ntimeout = \"2s\"\n"
	env.Values[stateKey{}] = &script{ctx: ctx, harness: h, via: "inst-1", streams: map[string]*streamedAnswer{}}
	env.Defer(func() {
		cancel()
		h.Fleet.Stop()
		release()
	})
	return nil
}

// command implements a script command. A returned error fails the script.
type command func(s *script, ts *testscript.TestScript, args []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"fleet": cmdFleet, "via": cmdVia, "in-force": cmdInForce, "declare": cmdDeclare, "until": cmdUntil, "exits": cmdExits,
		"ask": cmdAsk, "stream": cmdStream, "whole": cmdWhole, "broken": cmdBroken, "resume": cmdResume,
		"issue": cmdIssue, "runs": cmdRuns, "cut-streams": cmdCutStreams,
		"kill-process": cmdKill, "freeze": cmdFreeze, "thaw": cmdThaw, "terminate": cmdTerminate, "start": cmdStart,
		"crash": cmdCrash, "freeze-holder": cmdFreezeHolder, "cut": cmdCut, "heal": cmdHeal, "platform": cmdPlatform, "leaving": cmdLeaving, "ready": cmdReady,
	}
	bound := map[string]func(*testscript.TestScript, bool, []string){"sfctl": sfctl}
	for name, run := range all {
		bound[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s: \"!\" is not supported", name)
			}
			s := ts.Value(stateKey{}).(*script)
			ts.Check(run(s, ts, args))
		}
	}
	return bound
}

// sfctl runs sfctl and requires exit code 0, or with "!" any other exit code.
func sfctl(ts *testscript.TestScript, neg bool, args []string) {
	s := ts.Value(stateKey{}).(*script)
	output, code, err := s.sfctl(ts, args)
	ts.Check(err)
	_, err = ts.Stdout().Write([]byte(output))
	ts.Check(err)
	if (code != 0) != neg {
		ts.Fatalf("sfctl %s: exit code %d: %s", strings.Join(args, " "), code, output)
	}
}

// sfctl runs sfctl with file names resolved against the script's folder.
func (s *script) sfctl(ts *testscript.TestScript, args []string) (output string, code int, err error) {
	resolved := append([]string{}, args...)
	for n, arg := range resolved {
		if strings.HasSuffix(arg, ".toml") {
			resolved[n] = ts.MkAbs(arg)
		}
	}
	return s.harness.Sfctl(s.ctx, s.harness.Instance(s.via), resolved...)
}

// until waits for a condition until the script's context is done.
func (s *script) until(what string, condition func() bool) error {
	return testfleet.Until(s.ctx, what, condition)
}
