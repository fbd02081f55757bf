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
	settings Settings
	sender   Sender
	log      *slog.Logger
	start    time.Time
	picture  *upstreamstate.State
	budgets  *budgets
	pool     *pool
	contents *contents
	usage    *usageCounter
	link     *link
	meters   *meters
	grants   *grants
	// askLimit asks the instance that coordinates the grants of sends to upstreams with
	// limits; nil for none.
	askLimit atomic.Pointer[func(context.Context, quota.GrantRequest) quota.Verdict]
	// ask asks the instance that keeps the zone's pool; nil for none.
	ask atomic.Pointer[func(context.Context, uint32) bool]
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
		pool: newPool(), contents: newContents(), usage: newUsageCounter(s.UsageWindow), link: newLink(), meters: newMeters(), grants: newGrants(), changed: make(chan struct{}, 1),
	}
	r.sender = limitedSender{Sender: sender, relay: r}
	sender.SetStatementHandler(r.hear)
	r.budgets = newBudgets(s.Budget, newRetryMeters(), r.askPool)
	r.picture = upstreamstate.New(upstreamstate.Settings{
		Zone: s.Zone, Placement: s.Placement, Prior: s.Prior, Outliers: s.Outliers, OnChange: r.noteChanged,
	})
	return r
}

// noteChanged implements upstreamstate.Settings.Changed.
func (r *Relay) noteChanged() {
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
func (r *Relay) SetRoutes(t *routes.Table) bool { return r.picture.SetRoutes(t, r.now()) }

// SetBudget takes other bounds of the sends beyond the first.
func (r *Relay) SetBudget(s BudgetSettings) { r.budgets.set(s) }

// UpdateUpstream takes an upstream's newest entry.
func (r *Relay) UpdateUpstream(u upstreamstate.Upstream) { r.picture.UpdateUpstream(u) }

// RemoveUpstream drops an upstream that is gone.
func (r *Relay) RemoveUpstream(id string) { r.picture.RemoveUpstream(id) }

// Engines returns the model engines that take requests, by service.
func (r *Relay) Engines() map[string][]upstreamstate.Engine { return r.picture.Engines(r.now()) }

// Services returns the services of the configuration in force.
func (r *Relay) Services() map[string]routes.Service {
	table, _ := r.picture.Routes(r.now())
	return table.Services
}

// Upstreams returns the upstreams of a service, those that are leaving too.
func (r *Relay) Upstreams(service string) []upstreamstate.Upstream {
	return r.picture.Upstreams(service)
}

// EngineTimes returns what the engines of a service take.
func (r *Relay) EngineTimes(service string) upstreamstate.Times { return r.picture.Times(service) }

// MarkUnavailable has all instances leave an upstream out for a time in which it takes no
// requests, or until its role has changed.
func (r *Relay) MarkUnavailable(id string, d time.Duration) { r.picture.MarkUnavailable(id, r.now()+d) }

// OwnReport returns what this instance tells the others.
func (r *Relay) OwnReport() upstreamstate.Report {
	r.showRests()
	report := r.picture.OwnReport(r.now())
	report.RetryOverflow, report.Crashes = r.budgets.spilled(), r.contents.told((*quarantine.Table).DueOwn)
	report.Usage = r.usage.tell((*usage.Tally).TellOwn)
	return report
}

// ZoneReport returns what this instance tells other zones of its own.
func (r *Relay) ZoneReport() upstreamstate.Report {
	r.depositOwn()
	report := r.picture.ZoneReport(r.now())
	report.Crashes = r.contents.told((*quarantine.Table).DueZone)
	report.Usage = r.usage.tell((*usage.Tally).TellZone)
	return report
}

// OtherZonesReport returns what this instance tells its zone of the other zones.
func (r *Relay) OtherZonesReport() upstreamstate.Report {
	report := r.picture.OtherZonesReport(r.now())
	report.Crashes = r.contents.told((*quarantine.Table).DueOtherZones)
	return report
}

// LearnedTimes returns what this instance has learned of the engines.
func (r *Relay) LearnedTimes() map[uint32]estimate.Snapshot { return r.picture.LearnedTimes() }

// ApplyReport takes the report of another instance, or of a whole zone.
func (r *Relay) ApplyReport(source string, report upstreamstate.Report) {
	now := r.now()
	r.picture.ApplyReport(source, report, now)
	r.showLimits()
	r.pool.deposit(source, report.RetryOverflow, now)
	r.link.heard(now)
	r.usage.hear(source, report)
	r.hearEnds(report.Crashes, strings.HasPrefix(source, upstreamstate.InstanceSourcePrefix))
}

// ownSource names this instance in its own pool.
const ownSource = "own"

// depositOwn pays what this instance has too much into its own pool.
func (r *Relay) depositOwn() { r.pool.deposit(ownSource, r.budgets.spilled(), r.now()) }

// HasPlacement tells whether a part was placed on an engine, as far as is known here.
func (r *Relay) HasPlacement(placed upstreamstate.PlacedPart) bool {
	return r.picture.HasPlacement(placed)
}

// servingFor is for how long after a request the instance counts as serving.
const servingFor = 2 * time.Second

// HasRecentRequests tells whether requests came lately.
func (r *Relay) HasRecentRequests() bool {
	last := r.lastRequest.Load()
	return last > 0 && r.now()-time.Duration(last) < servingFor
}

// Close has all new requests refused; those under way go on.
func (r *Relay) Close() { r.closed.Store(true) }

// Ready tells whether there are routes to serve.
func (r *Relay) Ready() bool {
	table, _ := r.picture.Routes(r.now())
	return table.Version > 0
}

// Serve answers a request. The error is a *Refusal when nothing of an answer
// was written, ErrBroken or ErrCallerGone.
func (r *Relay) Serve(ctx context.Context, req *Request, w http.ResponseWriter) error {
	x, err := r.begin(req)
	if err == nil {
		err = r.refuse(x)
	}
	if err != nil {
		r.report(x, req, err)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, x.left(r.now()))
	defer cancel()
	x.budget.Succeeded(r.now()) // each request pays its share in
	if x.route.Kind == routes.Generation {
		err = r.generate(ctx, x, w)
	} else {
		err = r.serveCall(ctx, x, w)
	}
	if err == nil && x.status < http.StatusInternalServerError {
		r.contentServed(x)
	}
	r.report(x, req, err)
	return err
}

// unbounded is the time of a request whose caller and route give none.
const unbounded = time.Minute

func (r *Relay) begin(req *Request) (*exchange, error) {
	now := r.now()
	r.lastRequest.Store(int64(now))
	table, age := r.picture.Routes(now)
	if r.closed.Load() {
		return nil, &Refusal{Outcome: NotRun, Reason: "stopping", RetryIn: r.settings.RetryIn}
	}
	if table.Version == 0 {
		return nil, &Refusal{Outcome: NotRun, Reason: "no configuration yet", RetryIn: r.startIn(req.WaitBudget)}
	}
	if why := r.Trouble(); why != "" {
		r.meters.choked.Inc(1)
		return nil, refuseTroubled(why, r.comeBackIn(req.WaitBudget))
	}
	matched := table.Match(req.Host, req.Path)
	if matched == nil {
		return nil, &Refusal{Outcome: NoRoute, Reason: "no route"}
	}
	identity, known := table.Identify(matched, req.Credential)
	if !known {
		return nil, refuseKey()
	}
	limit := unbounded
	for _, bound := range []time.Duration{req.WaitBudget, matched.Timeout} {
		if bound > 0 {
			limit = min(limit, bound)
		}
	}
	service := matched.Pick(draw(req.ID))
	return &exchange{
		req: req, route: matched, service: service, identity: identity,
		version: table.Version, age: age, arrived: now, ends: now + limit,
		tries: attempt.New(r.rulesOf(matched)), budget: r.budgets.of(service, now),
		content: sync.OnceValue(req.Content),
	}, nil
}

// draw is a number in [0, 1) that follows from an id.
func draw(id string) float64 {
	const mantissa = 53 // bits of a float64's fraction
	return float64(xxhash.Sum64String(id)>>(64-mantissa)) / (1 << mantissa)
}

// rulesOf are the bounds that a route sets on the attempts at its requests.
func (r *Relay) rulesOf(of *routes.Route) attempt.Rules {
	return attempt.Rules{
		Repeatable: of.Kind == routes.Idempotent || of.Resumable,
		MaxRuns:    max(1, of.MaxAttempts), MaxSends: r.settings.MaxSends,
	}
}

// blame records a failed send against the upstream, unless the caller left.
func (r *Relay) blame(ctx context.Context, x *exchange, id string, err error) {
	if errors.Is(err, ErrDeclined) {
		return // it was not asked
	}
	if errors.Is(err, ErrCutOff) {
		r.noteCut(x, id)
	}
	r.noteLink(id, err)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	v := verdictOf(ctx, err)
	ejected := r.picture.RecordCall(id, v, r.now())
	r.log.Info("relay: send failed", "request", x.req.ID, "upstream", id, "try", x.tries.Sends(),
		"ejected", ejected, "error", err, "after", r.now()-x.arrived, "content", x.content())
}

// giveUp is the truthful end of a request without an answer.
func (r *Relay) giveUp(ctx context.Context, x *exchange) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerDisconnected
	}
	if x.tries.Outcome() == outcome.NotRun {
		if err := r.refuse(x); err != nil {
			return err
		}
		if err := r.refuseAnnounced(x); err != nil {
			return err
		}
		return &Refusal{Outcome: NotRun, Reason: reason(x, "no upstream took it"), RetryIn: r.retryIn(x)}
	}
	if ctx.Err() != nil {
		return &Refusal{Outcome: TimedOut, Reason: "timed out"}
	}
	return &Refusal{Outcome: Unknown, Reason: reason(x, "no whole answer")}
}

// startIn is when to come back to an instance that has just started.
func (r *Relay) startIn(left time.Duration) time.Duration {
	in := jittered(r.settings.StartupRetryIn)
	if left > 0 {
		in = min(in, left/retryPart)
	}
	return in
}

func reason(x *exchange, text string) string {
	if x.tries.LastError() == nil {
		return text + ": none to ask"
	}
	return text
}

// retryIn is when a caller should come back, within what it has left.
func (r *Relay) retryIn(x *exchange) time.Duration {
	if r.picture.Count(x.service) == 0 {
		return r.startIn(x.left(r.now()))
	}
	return min(jittered(r.settings.RetryIn), max(time.Millisecond, x.left(r.now())/retryPart))
}

// retryPart is the part of a caller's time after which it may be told to come
// back: a quarter, so that an answer still fits.
const retryPart = 4
