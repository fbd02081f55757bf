package entry

import (
	"slices"
	"time"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// RoutingSettings configure how an upstream is chosen; docs/operate/routing.md says what to look at. The
// defaults follow docs/measurements/routing.md.
type RoutingSettings struct {
	// Policy is the estimate of the load by which requests are routed: "round-robin", "report", "local",
	// "local-prefix", "charge", "charge-prefix" or "estimate". Default estimate.
	Policy placement.Policy `toml:"policy"`
	// Pick is the choice among scored engines: "best", "near-best" or "two-choices". Default near-best.
	Pick placement.Pick `toml:"pick"`
	// Subset is the number of engines of each pool that this entry monitors and routes to; 0 means all.
	// Default 0.
	Subset int `toml:"subset"`
	// ChargeFor is how long a placement is charged at most if no report accounts for it. It must be longer
	// than the lag of reports. Default 15s.
	ChargeFor time.Duration `toml:"charge_for"`
	// EventsEvery is the interval between reads of an engine's cache events, for the policies with prefix
	// hints. Default 500ms.
	EventsEvery time.Duration `toml:"events_every"`
	// Failures is the number of consecutive failures that eject an upstream. Default 2.
	Failures int `toml:"failures"`
	// EjectFor is the duration of the first ejection; it doubles up to EjectAtMost. Default 2s.
	EjectFor time.Duration `toml:"eject_for"`
	// EjectAtMost is the maximum duration of an ejection. Default 30s.
	EjectAtMost time.Duration `toml:"eject_at_most"`
	// SilentFor is how long an engine may go without a new report before it gets no new work. Default 2s.
	SilentFor time.Duration `toml:"silent_for"`
}

func defaultRouting() RoutingSettings {
	rules := load.DefaultOutlierRules()
	return RoutingSettings{
		Policy: placement.PolicyEstimate, Pick: placement.PickNearBest, ChargeFor: load.DefaultChargeFor,
		EventsEvery: 500 * time.Millisecond, Failures: rules.Failures,
		EjectFor: rules.EjectFor, EjectAtMost: rules.EjectAtMost, SilentFor: rules.SilentFor,
	}
}

func (r RoutingSettings) outliers() load.OutlierRules {
	rules := load.DefaultOutlierRules()
	rules.Failures, rules.SilentFor = r.Failures, r.SilentFor
	rules.EjectFor, rules.EjectAtMost = r.EjectFor, r.EjectAtMost
	return rules
}

func (r RoutingSettings) check(file *tomlfile.File) {
	if !slices.Contains(placement.Policies(), r.Policy) {
		file.Add("routing.policy", "want one of %v, not %q", placement.Policies(), r.Policy)
	}
	if !slices.Contains(placement.Picks(), r.Pick) {
		file.Add("routing.pick", "want one of %v, not %q", placement.Picks(), r.Pick)
	}
	settings.IntBetween(file, "routing.subset", r.Subset, 0, 100000)
	settings.Between(file, "routing.charge_for", r.ChargeFor, 100*time.Millisecond, 10*time.Minute)
	settings.Between(file, "routing.events_every", r.EventsEvery, 10*time.Millisecond, time.Minute)
	settings.IntBetween(file, "routing.failures", r.Failures, 1, 100)
	settings.Between(file, "routing.eject_for", r.EjectFor, 10*time.Millisecond, 10*time.Minute)
	settings.Between(file, "routing.eject_at_most", r.EjectAtMost, r.EjectFor, time.Hour)
	settings.Between(file, "routing.silent_for", r.SilentFor, 10*time.Millisecond, 10*time.Minute)
}
