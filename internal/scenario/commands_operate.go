package scenario

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdFleet implements "fleet 3 instances 3 engines 1 services [ignore]". It starts the processes and writes
// first.toml, the intent that configures all of them. A last argument sets the engines' fencing.
func cmdFleet(s *script, ts *testscript.TestScript, args []string) error {
	counts := map[string]int{}
	for n := 0; n+1 < len(args); n += 2 {
		count, err := strconv.Atoi(args[n])
		if err != nil {
			return errors.Wrap(err, "fleet")
		}
		counts[args[n+1]] = count
	}
	if len(args)%2 == 1 {
		s.harness.Fencing = args[len(args)-1]
	}
	if err := s.harness.Start(s.ctx, counts["instances"], counts["engines"], counts["services"]); err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(ts.MkAbs("first.toml"), []byte(s.harness.BaseIntent()), 0o644))
}

// cmdVia implements "via inst-2". It selects the instance that sfctl connects to.
func cmdVia(s *script, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 || s.harness.Instance(args[0]) == nil {
		return errors.New("via: want one instance")
	}
	s.via = args[0]
	return nil
}

// cmdInForce implements "in-force first.toml". It declares and confirms an intent, and waits until it is in
// force.
func cmdInForce(s *script, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("in-force: want one file")
	}
	return s.harness.Confirm(s.ctx, s.harness.Instance(s.via), ts.ReadFile(args[0]))
}

// cmdDeclare implements "declare drain.toml PLAN". It declares an intent and sets $PLAN to the id of the
// plan.
func cmdDeclare(s *script, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("declare: want a file and a variable")
	}
	output, code, err := s.sfctl(ts, []string{"--output", "json", "declare", args[0]})
	if err != nil || code != 0 {
		return errors.Errorf("declare: exit code %d, %v: %s", code, err, output)
	}
	var plan struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(output), &plan); err != nil {
		return errors.Wrap(err, output)
	}
	ts.Setenv(args[1], plan.ID)
	return nil
}

// cmdUntil implements "until REGEXP engines". It runs sfctl repeatedly until its output matches.
func cmdUntil(s *script, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("until: want a pattern and a command of sfctl")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	if err != nil {
		return errors.WithStack(err)
	}
	last := ""
	err = s.until(strings.Join(args, " "), func() bool {
		output, _, err := s.sfctl(ts, args[1:])
		last = output
		return err == nil && pattern.MatchString(output)
	})
	return errors.Wrap(err, last)
}

// cmdExits implements "exits 3 confirm $PLAN". It runs sfctl and requires the given exit code.
func cmdExits(s *script, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("exits: want a code and a command of sfctl")
	}
	output, code, err := s.sfctl(ts, args[1:])
	if err != nil {
		return err
	}
	if strconv.Itoa(code) != args[0] {
		return errors.Errorf("exit code %d, want %s: %s", code, args[0], output)
	}
	_, err = ts.Stdout().Write([]byte(output))
	return errors.WithStack(err)
}
