package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
	"sassafrasfield/internal/usage"
)

// Settings of the relay.
type Settings struct {
	// Zone of this instance.
	Zone   string
	Budget BudgetSettings
	// Placement is what is weighed against the times that engines take, Prior what
	// is assumed of these times before anything was observed.
	Placement placement.Settings
	Prior     estimate.Prior
	// MaxSends bounds the sends of one request, refused ones included.
	MaxSends int
	// PrefillIdleTimeout is how long an engine may take for a prompt beyond what
	// was predicted, before another one is asked.
	PrefillIdleTimeout time.Duration
	// StreamIdleTimeout is how long a resumable generation may pause before
	// another engine goes on with it.
	StreamIdleTimeout time.Duration
	// RetryIn is told to callers whose request did not run.
	RetryIn time.Duration
	// StartupRetryIn is told to them instead while this instance does not know the
	// configuration or any upstream yet.
	StartupRetryIn time.Duration
	Outliers       load.OutlierRules
	// UsageWindow is the length of the windows in which requests are counted that begin
	// to run; 0 for a deployment that wants no such counts.
	UsageWindow time.Duration
}

// DefaultSettings returns the defaults; each was set by the reason beside it.
func DefaultSettings() Settings {
	outliers := load.DefaultOutlierRules()
	outliers.EjectAtMost = 5 * time.Second // a crashed upstream loses its entry within that
	return Settings{
		Budget:             BudgetSettings{Share: 0.2, Slack: 58, Window: 10 * time.Second},
		Placement:          placement.DefaultSettings(),
		Prior:              estimate.DefaultPrior(),
		MaxSends:           4,
		PrefillIdleTimeout: 1200 * time.Millisecond, // above the queue of a busy engine, below most deadlines
		StreamIdleTimeout:  1200 * time.Millisecond, // callers leave after two seconds of silence
		RetryIn:            150 * time.Millisecond,  // about the time of one long prompt
		StartupRetryIn:     400 * time.Millisecond,  // of 79 instances that start at once half have the configuration after 0.55 s, the last after 0.9 s
		Outliers:           outliers,
	}
}

// Relay serves requests. It is safe for use by several goroutines.
type Relay struct {
	settings   Settings
	sender     Sender
	log        *slog.Logger
	start      time.Time
	upstreams  *upstreamstate.Picture
	budgets    *budgets
	pool       *retryPool
	quarantine *quarantineState
	usage      *usageCounter
	link       *link
	meters     *meters
	grants     *grants
	// requestGrant asks the instance that coordinates the grants of sends to upstreams with
	// limits; nil for none.
	requestGrant atomic.Pointer[func(context.Context, quota.Ask) quota.Verdict]
	// requestRetry asks the instance that keeps the zone's pool; nil for none.
	requestRetry atomic.Pointer[func(context.Context, uint32) bool]
	// closed: new requests are refused.
	closed atomic.Bool
	// lastRequest is when the newest request came, on the relay's clock.
	lastRequest atomic.Int64
	// changed tells that there is news for the other instances.
	changed chan struct{}
}

// New returns a relay that knows no routes and no upstreams.
func New(s Settings, sender Sender, log *slog.Logger) *Relay {
	r := &Relay{
		settings: s, log: log, start: time.Now(),
		pool: newRetryPool(), quarantine: newQuarantineState(), usage: newUsageCounter(s.UsageWindow), link: newLink(), meters: newMeters(), grants: newGrants(), changed: make(chan struct{}, 1),
	}
	r.sender = admittingSender{Sender: sender, relay: r}
	sender.SetStatementHandler(r.applyStatement)
	r.budgets = newBudgets(s.Budget, newRetryMeters(), r.requestFromPool)
	r.upstreams = upstreamstate.New(upstreamstate.Settings{
		Zone: s.Zone, Placement: s.Placement, Prior: s.Prior, Outliers: s.Outliers, Changed: r.notifyChanged,
	})
	return r
}

// notifyChanged implements upstreamstate.Settings.Changed.
func (r *Relay) notifyChanged() {
	select {
	case r.changed <- struct{}{}:
	default: // it is told already
	}
}

// Changed has a value when the other instances should be told of news.
func (r *Relay) Changed() <-chan struct{} { return r.changed }

func (r *Relay) now() time.Duration { return time.Since(r.start) }

// SetRoutes puts a version of the configuration in force unless it is older,
// and tells whether it did.
func (r *Relay) SetRoutes(t *routes.Table) bool { return r.upstreams.SetRoutes(t, r.now()) }

// SetBudget takes other bounds of the sends beyond the first.
func (r *Relay) SetBudget(s BudgetSettings) { r.budgets.set(s) }

// UpdateUpstream takes an upstream's newest entry.
func (r *Relay) UpdateUpstream(u upstreamstate.Upstream) { r.upstreams.Learn(u) }

// RemoveUpstream drops an upstream that is gone.
func (r *Relay) RemoveUpstream(id string) { r.upstreams.Forget(id) }

// Engines returns the model engines that take requests, by service.
func (r *Relay) Engines() map[string][]upstreamstate.Engine { return r.upstreams.Engines(r.now()) }

// Services returns the services of the configuration in force.
func (r *Relay) Services() map[string]routes.Service {
	table, _ := r.upstreams.Routes(r.now())
	return table.Services
}

// Upstreams returns the upstreams of a service, those that are leaving too.
func (r *Relay) Upstreams(service string) []upstreamstate.Upstream {
	return r.upstreams.Members(service)
}

// EngineTimes returns what the engines of a service take.
func (r *Relay) EngineTimes(service string) upstreamstate.Times { return r.upstreams.Times(service) }

// MarkUnavailable has all instances leave an upstream out for a time in which it takes no
// requests, or until its role has changed.
func (r *Relay) MarkUnavailable(id string, d time.Duration) { r.upstreams.SendAway(id, r.now()+d) }

// OwnReport returns what this instance tells the others.
func (r *Relay) OwnReport() upstreamstate.Report {
	r.logEndedBackoffs()
	report := r.upstreams.OwnReport(r.now())
	report.Spilled, report.Ends = r.budgets.overflow(), r.quarantine.dueCrashes((*quarantine.Table).OwnEnds)
	report.Usage = r.usage.dueTotals((*usage.Tally).TellOwn)
	return report
}

// ZoneReport returns what this instance tells other zones of its own.
func (r *Relay) ZoneReport() upstreamstate.Report {
	r.depositOwn()
	report := r.upstreams.ZoneReport(r.now())
	report.Ends = r.quarantine.dueCrashes((*quarantine.Table).ZoneEnds)
	report.Usage = r.usage.dueTotals((*usage.Tally).TellZone)
	return report
}

// OtherZonesReport returns what this instance tells its zone of the other zones.
func (r *Relay) OtherZonesReport() upstreamstate.Report {
	report := r.upstreams.BeyondReport(r.now())
	report.Ends = r.quarantine.dueCrashes((*quarantine.Table).BeyondEnds)
	return report
}

// Learned returns what this instance has learned of the engines.
func (r *Relay) Learned() map[uint32]estimate.Learned { return r.upstreams.Learned() }

// ApplyReport takes the report of another instance, or of a whole zone.
func (r *Relay) ApplyReport(source string, report upstreamstate.Report) {
	now := r.now()
	r.upstreams.TakeReport(source, report, now)
	r.logLimitChanges()
	r.pool.deposit(source, report.Spilled, now)
	r.link.reportReceived(now)
	r.usage.apply(source, report)
	r.applyCrashes(report.Ends, strings.HasPrefix(source, upstreamstate.BesidePrefix))
}

// ownSource names this instance in its own pool.
const ownSource = "own"

// depositOwn pays what this instance has too much into its own pool.
func (r *Relay) depositOwn() { r.pool.deposit(ownSource, r.budgets.overflow(), r.now()) }

// HasPlacement tells whether a part was placed on an engine, as far as is known here.
func (r *Relay) HasPlacement(placed upstreamstate.Placed) bool { return r.upstreams.Knows(placed) }

// recentRequestWindow is for how long after a request the instance counts as serving.
const recentRequestWindow = 2 * time.Second

// HasRecentRequests tells whether requests came lately.
func (r *Relay) HasRecentRequests() bool {
	last := r.lastRequest.Load()
	return last > 0 && r.now()-time.Duration(last) < recentRequestWindow
}

// Close has all new requests refused; those under way go on.
func (r *Relay) Close() { r.closed.Store(true) }

// Ready tells whether there are routes to serve.
func (r *Relay) Ready() bool {
	table, _ := r.upstreams.Routes(r.now())
	return table.Version > 0
}

// Serve answers a request. The error is a *Refusal when nothing of an answer
// was written, ErrBroken or ErrCallerGone.
func (r *Relay) Serve(ctx context.Context, req *Request, w http.ResponseWriter) error {
	x, err := r.newExchange(req)
	if err == nil {
		err = r.refuse(x)
	}
	if err != nil {
		r.finish(x, req, err)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, x.remaining(r.now()))
	defer cancel()
	x.budget.Succeeded(r.now()) // each request pays its share in
	if x.route.Kind == routes.Generation {
		err = r.generate(ctx, x, w)
	} else {
		err = r.serveCall(ctx, x, w)
	}
	if err == nil && x.status < http.StatusInternalServerError {
		r.recordServed(x)
	}
	r.finish(x, req, err)
	return err
}

// maxTimeout is the time of a request whose caller and route give none.
const maxTimeout = time.Minute

func (r *Relay) newExchange(req *Request) (*exchange, error) {
	now := r.now()
	r.lastRequest.Store(int64(now))
	table, age := r.upstreams.Routes(now)
	if r.closed.Load() {
		return nil, &Refusal{Outcome: NotRun, Reason: "stopping", RetryIn: r.settings.RetryIn}
	}
	if table.Version == 0 {
		return nil, &Refusal{Outcome: NotRun, Reason: "no configuration yet", RetryIn: r.startupRetryIn(req.WaitBudget)}
	}
	if why := r.Trouble(); why != "" {
		r.meters.saturated.Inc(1)
		return nil, refuseImpaired(why, r.retryElsewhereIn(req.WaitBudget))
	}
	matched := table.Match(req.Host, req.Path)
	if matched == nil {
		return nil, &Refusal{Outcome: NoRoute, Reason: "no route"}
	}
	identity, known := table.Identify(matched, req.Credential)
	if !known {
		return nil, refuseUnauthenticated()
	}
	limit := maxTimeout
	for _, bound := range []time.Duration{req.WaitBudget, matched.Timeout} {
		if bound > 0 {
			limit = min(limit, bound)
		}
	}
	service := matched.Pick(hashFraction(req.ID))
	return &exchange{
		req: req, route: matched, service: service, identity: identity,
		version: table.Version, age: age, arrived: now, deadline: now + limit,
		attempts: attempt.New(r.attemptRules(matched)), budget: r.budgets.forService(service, now),
		content: sync.OnceValue(req.Content),
	}, nil
}

// hashFraction is a number in [0, 1) that follows from an id.
func hashFraction(id string) float64 {
	const mantissa = 53 // bits of a float64's fraction
	return float64(xxhash.Sum64String(id)>>(64-mantissa)) / (1 << mantissa)
}

// attemptRules are the bounds that a route sets on the attempts at its requests.
func (r *Relay) attemptRules(of *routes.Route) attempt.Rules {
	return attempt.Rules{
		Repeatable: of.Kind == routes.Idempotent || of.Resumable,
		MaxRuns:    max(1, of.MaxAttempts), MaxSends: r.settings.MaxSends,
	}
}

// recordFailure records a failed send against the upstream, unless the caller left.
func (r *Relay) recordFailure(ctx context.Context, x *exchange, id string, err error) {
	if errors.Is(err, ErrDeclined) {
		return // it was not asked
	}
	if errors.Is(err, ErrCutOff) {
		r.checkInterrupted(x, id)
	}
	r.recordSendError(id, err)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	v := verdictFor(ctx, err)
	ejected := r.upstreams.Judge(id, v, r.now())
	r.log.Info("relay: send failed", "request", x.req.ID, "upstream", id, "try", x.attempts.Sends(),
		"ejected", ejected, "error", err, "after", r.now()-x.arrived, "content", x.content())
}

// finalError is the truthful end of a request without an answer.
func (r *Relay) finalError(ctx context.Context, x *exchange) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerDisconnected
	}
	if x.attempts.Outcome() == outcome.NotRun {
		if err := r.refuse(x); err != nil {
			return err
		}
		if err := r.refuseUnavailable(x); err != nil {
			return err
		}
		return &Refusal{Outcome: NotRun, Reason: refusalReason(x, "no upstream took it"), RetryIn: r.retryIn(x)}
	}
	if ctx.Err() != nil {
		return &Refusal{Outcome: TimedOut, Reason: "timed out"}
	}
	return &Refusal{Outcome: Unknown, Reason: refusalReason(x, "no whole answer")}
}

// startupRetryIn is when to come back to an instance that has just started.
func (r *Relay) startupRetryIn(left time.Duration) time.Duration {
	in := jittered(r.settings.StartupRetryIn)
	if left > 0 {
		in = min(in, left/retryDivisor)
	}
	return in
}

func refusalReason(x *exchange, text string) string {
	if x.attempts.LastError() == nil {
		return text + ": none to ask"
	}
	return text
}

// retryIn is when a caller should come back, within what it has left.
func (r *Relay) retryIn(x *exchange) time.Duration {
	if r.upstreams.Count(x.service) == 0 {
		return r.startupRetryIn(x.remaining(r.now()))
	}
	return min(jittered(r.settings.RetryIn), max(time.Millisecond, x.remaining(r.now())/retryDivisor))
}

// retryDivisor is the part of a caller's time after which it may be told to come
// back: a quarter, so that an answer still fits.
const retryDivisor = 4
