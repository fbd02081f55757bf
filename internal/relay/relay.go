package relay

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/membudget"
	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/takeover"
	"sassafrasfield/internal/upstreamstate"
	"sassafrasfield/internal/usage"
)

// Settings configures a Relay.
type Settings struct {
	// Zone is the availability zone of this instance.
	Zone   string
	Budget BudgetSettings
	// Placement holds what placement weighs against the engines' processing times.
	// Prior holds the processing times that are assumed before any were observed.
	Placement placement.Settings
	Prior     estimate.Prior
	// MaxSends bounds the sends of one request, refused ones included.
	MaxSends int
	// PrefillIdleTimeout is how long an engine may exceed the predicted time of a prefill without
	// answering any request, before the prompt is sent to another engine.
	PrefillIdleTimeout time.Duration
	// StreamIdleTimeout is how long a resumable generation may pause before it is resumed on another engine, if its own
	// does not answer or has no such run any more.
	StreamIdleTimeout time.Duration
	// RetryIn is the retry delay that is returned to callers whose request did not run.
	RetryIn time.Duration
	// StartupRetryIn replaces RetryIn while this instance has no configuration or knows no upstream
	// yet.
	StartupRetryIn time.Duration
	// VersionStoreWait is how long streams that may be resumed wait for the software version of their engine to be stored,
	// from when the engine appeared.
	VersionStoreWait time.Duration
	// ServesAfterLeaving is for how long an upstream serves at least after this instance has heard that it leaves.
	ServesAfterLeaving time.Duration
	Outliers           load.OutlierRules
	QuotaTolerance     QuotaTolerance
	// UsageWindow is the length of the time windows in which the requests that began to run are
	// counted; 0 disables the counts.
	UsageWindow time.Duration
	// ReservationsFrom is the number of engines of a service from which the work of prompts is reserved before it is
	// sent; 0 means never.
	ReservationsFrom int
	// RelocationsFrom is the number of engines of a service from which prompts that an engine does not process in time
	// move to another one; 0 means never.
	RelocationsFrom int
	// MaxForwarded bounds the requests that are served at a time for other instances.
	MaxForwarded int
	// Memory bounds the memory that is held for callers.
	Memory membudget.Settings
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	outliers := load.DefaultOutlierRules()
	outliers.EjectAtMost = 5 * time.Second // the entry of a crashed upstream is removed within this time
	return Settings{
		Budget:             BudgetSettings{Share: 0.2, Slack: 58, Window: 10 * time.Second},
		Placement:          placement.DefaultSettings(),
		Prior:              estimate.DefaultPrior(),
		MaxSends:           4,
		PrefillIdleTimeout: 1200 * time.Millisecond, // longer than a busy engine's queue, below most deadlines
		StreamIdleTimeout:  1200 * time.Millisecond, // callers disconnect after two seconds without an event, or later
		RetryIn:            150 * time.Millisecond,  // about the processing time of one long prompt
		// Of 79 instances that start at once, half have the configuration after 0.55 s, the last after 0.9 s.
		StartupRetryIn:     400 * time.Millisecond,
		VersionStoreWait:   300 * time.Millisecond,  // several times a write
		ServesAfterLeaving: 1700 * time.Millisecond, // of two seconds, as this instance hears of it a little later
		Outliers:           outliers,
		ReservationsFrom:   80, // the smallest service that was measured with reservations has 90 engines
		MaxForwarded:       64, // several times the requests of an instance of 0.4 cores, in a few megabytes
	}
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	settings   Settings
	sender     Sender
	log        *slog.Logger
	start      time.Time
	upstreams  *upstreamstate.State
	budgets    *budgets
	pool       *retryPool
	quarantine *quarantineState
	usage      *usageCounter
	link       *link
	paths      *paths
	meters     *meters
	grants     *grants
	quotas     *organisationQuotas
	fetches    *fetchRates
	versions   *versionRecords
	// reservations has the prompt work of this zone's engines while this instance is the hub.
	reservations *reservations
	memory       *memory
	relocator    *relocator
	answers      *openAnswers
	engineChecks *engineChecks
	streams      *activeStreams
	stopping     *stopping
	departures   *departures
	// requestGrant requests a grant for a send to a rate-limited upstream from the instance that
	// coordinates the grants; nil if unset.
	requestGrant atomic.Pointer[func(context.Context, quota.GrantRequest) quota.Verdict]
	// requestRetry requests a retry from the instance that keeps the zone's retry pool; nil if
	// unset.
	requestRetry atomic.Pointer[func(context.Context, uint32) bool]
	// claimElsewhere claims a stream at the other instances.
	claimElsewhere func(ctx context.Context, c takeover.Claim) takeover.Result
	forwarder      Forwarder // nil if requests cannot be forwarded
	// forwardedInFlight is the number of requests that are being served for other instances.
	forwardedInFlight atomic.Int64
	// closed is set once new requests are refused.
	closed atomic.Bool
	// quarantinesKnown reports whether the quarantines that were persisted are known here; nil if there are none to
	// wait for.
	quarantinesKnown func() bool
	// entriesCurrent reports whether changes of the upstreams' entries arrive here; nil if they always do.
	entriesCurrent func() bool
	// lastAnswer is the time of the newest answer of an upstream, on the relay's clock.
	lastAnswer atomic.Int64
	// lastRequest is the arrival time of the newest request, on the relay's clock.
	lastRequest atomic.Int64
	// changed receives a value when there are updates to publish to the other instances.
	changed chan struct{}
}

// New returns a relay without routes and upstreams.
func New(s Settings, sender Sender, log *slog.Logger) *Relay {
	r := &Relay{
		settings: s, log: log, start: time.Now(),
		pool: newRetryPool(), quarantine: newQuarantineState(), usage: newUsageCounter(s.UsageWindow), link: newLink(log), paths: newPaths(log), meters: newMeters(), grants: newGrants(), quotas: newOrganisationQuotas(), fetches: newFetchRates(), versions: newVersionRecords(), reservations: newReservations(), relocator: newRelocator(), answers: newOpenAnswers(), engineChecks: newEngineChecks(), streams: newActiveStreams(), stopping: newStopping(), departures: newDepartures(), changed: make(chan struct{}, 1),
	}
	r.memory = newMemory(s.Memory, log, r.now)
	r.claimElsewhere = func(context.Context, takeover.Claim) takeover.Result { return takeover.Result{} }
	r.sender = admittingSender{Sender: sender, relay: r}
	sender.SetStatusHandler(r.applyStatus)
	r.budgets = newBudgets(s.Budget, newRetryMeters(), r.requestFromPool)
	r.upstreams = upstreamstate.New(upstreamstate.Settings{
		Zone: s.Zone, Placement: s.Placement, Prior: s.Prior, Outliers: s.Outliers, OnChange: r.notifyChanged,
	})
	return r
}

// notifyChanged implements upstreamstate.Settings.OnChange.
func (r *Relay) notifyChanged() {
	select {
	case r.changed <- struct{}{}:
	default: // a notification is already pending
	}
}

// Changed returns a channel that receives a value when there are updates to publish to the other
// instances.
func (r *Relay) Changed() <-chan struct{} { return r.changed }

func (r *Relay) now() time.Duration { return time.Since(r.start) }

// SetRoutes puts a version of the configuration in force unless it is older than the one in force,
// and reports whether it did.
func (r *Relay) SetRoutes(t *routes.Table) bool { return r.upstreams.SetRoutes(t, r.now()) }

// SetBudget replaces the bounds on retries.
func (r *Relay) SetBudget(s BudgetSettings) { r.budgets.set(s) }

// UpdateUpstream stores an upstream's newest entry.
func (r *Relay) UpdateUpstream(u upstreamstate.Upstream) {
	r.noteVersion(u)
	r.noteDeparture(u)
	r.upstreams.UpdateUpstream(u)
}

// RemoveUpstream removes an upstream.
func (r *Relay) RemoveUpstream(id string) {
	r.noteVersionGone(id)
	if known := r.upstreams.Upstream(id); known.ID != "" {
		now := r.now()
		r.departures.note(known.Incarnation(), departure{at: now}, now)
	}
	r.upstreams.RemoveUpstream(id)
}

// Engines returns the model engines that accept requests, by service.
func (r *Relay) Engines() map[string][]upstreamstate.Engine { return r.upstreams.Engines(r.now()) }

// Services returns the services of the configuration in force.
func (r *Relay) Services() map[string]routes.Service {
	table, _ := r.upstreams.Routes(r.now())
	return table.Services
}

// Upstreams returns the upstreams of a service, including those that are draining.
func (r *Relay) Upstreams(service string) []upstreamstate.Upstream {
	return r.upstreams.Upstreams(service)
}

// EngineTimes returns the processing times of a service's engines.
func (r *Relay) EngineTimes(service string) upstreamstate.Times { return r.upstreams.Times(service) }

// MarkUnavailable has all instances exclude an upstream for the time d, in which it accepts no
// requests, or until its role has changed.
func (r *Relay) MarkUnavailable(id string, d time.Duration) {
	r.upstreams.MarkUnavailable(id, r.now()+d)
}

// OwnReport returns this instance's report to the other instances.
func (r *Relay) OwnReport() upstreamstate.Report {
	r.logEndedBackoffs()
	report := r.upstreams.OwnReport(r.now())
	for _, service := range r.paths.lostServices() {
		report.Unreached = append(report.Unreached, serviceHash(service))
		report.Unreachable = nil // it is this instance's path that failed
	}
	report.RetryOverflow, report.Evidence = r.budgets.overflow(), r.quarantine.dueEvidence((*quarantine.Table).DueOwn)
	report.Usage = r.usage.dueTotals((*usage.Tally).DueOwn)
	return report
}

// ZoneReport returns the report on this instance's zone to the other zones.
func (r *Relay) ZoneReport() upstreamstate.Report {
	r.depositOwn()
	report := r.upstreams.ZoneReport(r.now())
	report.Evidence = r.quarantine.dueEvidence((*quarantine.Table).DueZone)
	report.Usage = r.usage.dueTotals((*usage.Tally).DueZone)
	return report
}

// OtherZonesReport returns the report on the other zones to the instances of this zone.
func (r *Relay) OtherZonesReport() upstreamstate.Report {
	report := r.upstreams.OtherZonesReport(r.now())
	report.Evidence = r.quarantine.dueEvidence((*quarantine.Table).DueOtherZones)
	return report
}

// LearnedTimes returns what this instance has learned about the engines, by a hash of the service.
func (r *Relay) LearnedTimes() map[uint32]estimate.Snapshot { return r.upstreams.LearnedTimes() }

// ApplyReport merges the report of another instance or of a whole zone.
func (r *Relay) ApplyReport(source string, report upstreamstate.Report) {
	now := r.now()
	r.upstreams.ApplyReport(source, report, now)
	r.logLimitChanges()
	r.pool.deposit(source, report.RetryOverflow, now)
	r.link.reportReceived(now)
	r.usage.apply(source, report)
	r.applyEvidence(report.Evidence, strings.HasPrefix(source, upstreamstate.InstanceSourcePrefix))
}

// ownSource identifies this instance as a source of its own pool.
const ownSource = "own"

// depositOwn deposits what this instance earned beyond its maximum balance in its own pool.
func (r *Relay) depositOwn() { r.pool.deposit(ownSource, r.budgets.overflow(), r.now()) }

// HasPlacement reports whether a prompt part is known to have been placed on an engine.
func (r *Relay) HasPlacement(placed upstreamstate.PlacedPart) bool {
	return r.upstreams.HasPlacement(placed)
}

// recentRequestWindow is how long after a request HasRecentRequests reports true.
const recentRequestWindow = 2 * time.Second

// HasRecentRequests reports whether requests arrived recently.
func (r *Relay) HasRecentRequests() bool {
	last := r.lastRequest.Load()
	return last > 0 && r.now()-time.Duration(last) < recentRequestWindow
}

// Close makes the relay refuse all new requests. Requests in progress continue.
func (r *Relay) Close() { r.closed.Store(true) }

// Ready reports whether a configuration is in force.
func (r *Relay) Ready() bool {
	table, _ := r.upstreams.Routes(r.now())
	return table.Version > 0
}

// recordFailure records a failed send against the upstream, unless the caller disconnected.
func (r *Relay) recordFailure(ctx context.Context, x *exchange, id string, err error) {
	if errors.Is(err, ErrDeclined) || errors.Is(err, ErrBudgetExhausted) || upstreamDidNotFail(err) {
		return // the upstream was not contacted, or has not failed
	}
	if errors.Is(err, ErrCutOff) {
		r.checkInterrupted(x, id)
	}
	r.recordSendError(id, err)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	r.recordCutOff(x, id, err)
	result := callResultFor(ctx, err)
	ejected := r.upstreams.RecordCall(id, result, r.now())
	r.log.Info("relay: send failed", "request", x.req.ID, "upstream", id, "try", x.attempts.Sends(),
		"ejected", ejected, "error", err, "after", r.now()-x.arrived, "content", x.content(),
		"parts", x.promptParts(), "generating_for", x.generatingFor(r.now()))
}

// finalError returns the error of a request that ends without an answer. It tells the caller
// truthfully whether the request may have run.
func (r *Relay) finalError(ctx context.Context, x *exchange) error {
	if callerLeft(ctx) {
		return ErrCallerDisconnected
	}
	notRun := x.attempts.Outcome() == outcome.NotRun
	if x.peerRefusal != nil && x.peerRefusal.ranNothing() == notRun {
		return x.peerRefusal
	}
	if notRun {
		if err := r.refuse(x); err != nil {
			return err
		}
		if x.hopeless != nil {
			return x.hopeless
		}
		if err := r.refuseUnavailable(x); err != nil {
			return err
		}
		return &Refusal{
			Outcome: NotRun, Reason: refusalReason(x, "no upstream took it"), RetryIn: r.retryIn(x),
			Elsewhere: x.forwarded && r.paths.isLost(x.service),
		}
	}
	if ctx.Err() != nil {
		return &Refusal{Outcome: TimedOut, Reason: "timed out"}
	}
	return &Refusal{Outcome: Unknown, Reason: refusalReason(x, "no whole answer")}
}

// startupRetryIn returns when a caller should retry at an instance that has just started.
func (r *Relay) startupRetryIn(remaining time.Duration) time.Duration {
	delay := jittered(r.settings.StartupRetryIn)
	if remaining > 0 {
		delay = min(delay, remaining/retryDivisor)
	}
	return delay
}

// refusalReason returns the text of a refusal, and says if there was no upstream to try.
func refusalReason(x *exchange, text string) string {
	if x.attempts.LastError() == nil {
		return text + ": none to ask"
	}
	return text
}

// retryIn returns when a caller should retry, within its remaining time.
func (r *Relay) retryIn(x *exchange) time.Duration {
	if r.upstreams.Count(x.service) == 0 {
		return r.startupRetryIn(x.remaining(r.now()))
	}
	return min(jittered(r.settings.RetryIn), max(time.Millisecond, x.remaining(r.now())/retryDivisor))
}

// retryDivisor bounds the retry delay to a part of the caller's remaining time: a quarter, so that
// an answer still fits.
const retryDivisor = 4
