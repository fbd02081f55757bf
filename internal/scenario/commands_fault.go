package scenario

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// processes returns the processes that the arguments name.
func (s *script) processes(args []string) ([]*testfleet.Process, error) {
	var all []*testfleet.Process
	for _, id := range args {
		found := s.harness.Processes(id)
		if len(found) == 0 {
			return nil, errors.Errorf("there is no %q", id)
		}
		all = append(all, found...)
	}
	return all, nil
}

// cmdKill implements "kill-process inst-2", "inst-2/control" or "engine-1". It sends SIGKILL.
func cmdKill(s *script, _ *testscript.TestScript, args []string) error {
	all, err := s.processes(args)
	for _, p := range all {
		p.Kill()
	}
	return err
}

// cmdFreeze implements "freeze inst-2/control". It sends SIGSTOP.
func cmdFreeze(s *script, _ *testscript.TestScript, args []string) error {
	all, err := s.processes(args)
	for _, p := range all {
		p.Signal(syscall.SIGSTOP)
	}
	return err
}

// cmdThaw implements "thaw inst-2/control". It sends SIGCONT.
func cmdThaw(s *script, _ *testscript.TestScript, args []string) error {
	all, err := s.processes(args)
	for _, p := range all {
		p.Signal(syscall.SIGCONT)
	}
	return err
}

// cmdTerminate implements "terminate inst-1". It sends SIGTERM and requires exit code 0 of each process.
func cmdTerminate(s *script, _ *testscript.TestScript, args []string) error {
	all, err := s.processes(args)
	if err != nil {
		return err
	}
	for _, p := range all {
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range all {
		select {
		case <-p.Done():
		case <-s.ctx.Done():
			return errors.Errorf("%s did not exit", p.Name)
		}
		if p.Err() != nil {
			return errors.Wrapf(p.Err(), "%s: %s", p.Name, p.Log())
		}
	}
	return nil
}

// cmdStart implements "start inst-1" or "start inst-1/control". It starts processes that have exited.
func cmdStart(s *script, _ *testscript.TestScript, args []string) error {
	for _, id := range args {
		i := s.harness.Instance(strings.TrimSuffix(id, "/control"))
		if i == nil {
			return errors.Errorf("there is no instance %q", id)
		}
		if !strings.HasSuffix(id, "/control") {
			if err := s.harness.Fleet.StartEntry(i); err != nil {
				return err
			}
		}
		if err := s.harness.Fleet.StartControl(i); err != nil {
			return err
		}
	}
	return nil
}

// cmdReady implements "ready inst-1". It waits until the instance's entry reports that it is ready.
func cmdReady(s *script, _ *testscript.TestScript, args []string) error {
	for _, id := range args {
		i := s.harness.Instance(id)
		if i == nil {
			return errors.Errorf("there is no instance %q", id)
		}
		err := s.until(id+" is ready", func() bool {
			res, err := http.Get("http://" + i.EntryAddress + "/readyz")
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// cmdCrash implements "crash engine-1". The engine loses its streams and orders, as in a restart.
func cmdCrash(s *script, _ *testscript.TestScript, args []string) error {
	for _, id := range args {
		for _, e := range s.harness.Fleet.Engines {
			if e.ID != id {
				continue
			}
			if err := testfleet.Post(s.ctx, e.Address, testservers.PathFault, testservers.EngineFaults{Crash: true}, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// proxy returns the proxy of an engine or service, or the one between an instance and the platform.
func (h *Harness) proxy(id string) *testfleet.Proxy {
	if p := h.PlatformProxies[id]; p != nil {
		return p
	}
	return h.UpstreamProxies[id]
}

// cmdCut implements "cut inst-1 to|from|both". An instance is cut off from the platform, an engine or a
// service from all instances.
func cmdCut(s *script, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || s.harness.proxy(args[0]) == nil {
		return errors.New("cut: want the id of an instance, engine or service and to, from or both")
	}
	p := s.harness.proxy(args[0])
	if args[1] != "from" {
		if err := p.Cut(testfleet.ToUpstream); err != nil {
			return err
		}
	}
	if args[1] != "to" {
		return p.Cut(testfleet.FromUpstream)
	}
	return nil
}

// cmdHeal implements "heal inst-1". It reverts what "cut" did.
func cmdHeal(s *script, _ *testscript.TestScript, args []string) error {
	for _, id := range args {
		p := s.harness.proxy(id)
		if p == nil {
			return errors.Errorf("there is no %q", id)
		}
		p.Heal()
	}
	return nil
}

// cmdPlatform implements "platform down | up | slow MILLISECONDS | lose COUNT PREFIX". It sets the faults of
// the platform.
func cmdPlatform(s *script, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("platform: want down, up, slow or lose")
	}
	var faults testservers.PlatformFaults
	number := 0
	if len(args) > 1 {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return errors.WithStack(err)
		}
		number = n
	}
	switch args[0] {
	case "down":
		faults.Down = true
	case "slow":
		faults.DelayMs = number
	case "lose":
		faults.LoseReplies = number
		if len(args) > 2 {
			faults.LosePrefix = args[2]
		}
	}
	return s.harness.Fleet.PlatformFault(s.ctx, faults)
}

// cmdLeaving implements "leaving engine-1". It sets the upstream to shutting down in the platform's list.
func cmdLeaving(s *script, _ *testscript.TestScript, args []string) error {
	for _, id := range args {
		if err := s.harness.MarkDraining(s.ctx, id, true); err != nil {
			return err
		}
	}
	return nil
}

// cmdFreezeHolder implements "freeze-holder NAME". It sends SIGSTOP to the sf-control that holds the pool's
// lease, sets $NAME to it, and selects another instance for sfctl.
func cmdFreezeHolder(s *script, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("freeze-holder: want a variable")
	}
	holder := ""
	err := s.until("an instance holds the lease", func() bool {
		holder = s.harness.LeaseHolder(s.ctx, PoolName)
		return holder != ""
	})
	if err != nil {
		return err
	}
	s.harness.Instance(holder).Control.Signal(syscall.SIGSTOP)
	ts.Setenv(args[0], holder+"/control")
	for _, i := range s.harness.Fleet.Instances {
		if i.ID != holder {
			s.via = i.ID
		}
	}
	return nil
}
