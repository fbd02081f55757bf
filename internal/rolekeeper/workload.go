package rolekeeper

import (
	"time"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/roles"
	"sassafrasfield/internal/upstreamstate"
)

const (
	// measureEvery is the time between measurements. They are smoothed over
	// seconds, and each goes over all engines.
	measureEvery = 400 * time.Millisecond
	// awayAfter is the time between two measurements, or looks, from which this
	// process counts as having been away.
	awayAfter = 3 * time.Second
)

// measure notes what the engines are used for while requests come.
func (k *Keeper) measure() {
	now := bootclock.Now()
	since := now - k.measuredAt
	if since < measureEvery {
		return
	}
	k.measuredAt = now
	if !(k.watches || k.held) || !k.view.Serving() || since > awayAfter {
		return // what was then is not known, or not of use here
	}
	for service, engines := range k.view.Engines() {
		if !k.view.Times(service).Known {
			continue // its use would be measured in times of other engines
		}
		k.use[service] = k.use[service].Add(seen(engines), since, k.settings.SplitPolicy.SmoothingTime)
	}
}

// seen are the engines with what they have under way.
func seen(engines []upstreamstate.Engine) []roles.Engine {
	list := make([]roles.Engine, len(engines))
	for i, e := range engines {
		list[i] = roles.Engine{ID: e.ID, Zone: e.Zone, Role: e.Role, Running: e.Load.Requests, PrefillUtilization: e.Load.Utilization}
	}
	return list
}

// balance is the balance with what the engines of a service take.
func (k *Keeper) balance(service string) roles.SplitPolicy {
	b, times := k.settings.SplitPolicy, k.view.Times(service)
	b.StepMillis, b.StepMillisPerRequest = milliseconds(times.Step), milliseconds(times.StepPerRequest)
	b.Slots = times.Slots
	return b
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

// follow brings the target to what the engines are used for.
func (k *Keeper) follow(service string, d *duty, engines []roles.Engine) {
	prefill := roles.CountPrefill(engines)
	use := k.use[service]
	follower, target := d.follower.Update(k.balance(service), d.target, use, prefill, len(engines), k.sinceLook)
	d.follower = follower
	before, after := d.target.PrefillCount(len(engines)), target.PrefillCount(len(engines))
	if before == after {
		return
	}
	d.target, d.wrong = target, k.settings.ConfirmChecks // what was measured over seconds needs no further looks
	k.log.Info("roles: the wanted split follows the use", "service", service, "engines", len(engines), "prefill", prefill,
		"wanted_before", before, "wanted", after, "prompts", use.PrefillLoad, "generations", use.Generations, "direct", use.DirectPrefillLoad)
	k.use[service] = use.AfterSplitChange()
}
