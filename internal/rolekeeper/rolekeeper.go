// Package rolekeeper brings the engines of a service to the wanted split of
// prefill and decode. One instance at a time does so, under a lease in the
// platform's table. The wanted split is a count, compared with what the engines
// report, so an order is never repeated because an instance started anew.
//
// Engines here do not look at fencing numbers. So a holder that takes a lease
// over waits for the length of a lease before its first order: the last order
// of the one before it has arrived by then.
package rolekeeper

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/roles"
	"sassafrasfield/internal/upstreamstate"
)

// EngineState is what an engine says of itself.
type EngineState struct {
	Role config.Role
	// Busy: it carries an order out.
	Busy bool
	// AcceptedOrders is how many it has accepted since its start.
	AcceptedOrders int64
}

// Order asks an engine to take a role.
type Order struct {
	To     config.Role
	Holder string
	// Epoch is the fencing number.
	Epoch int64
	// AcceptedOrders is the engine's count that the order counts on; with another one
	// it has no effect, however late it arrives.
	AcceptedOrders int64
}

// Orderer is the adapter to the engines' control interface.
type Orderer interface {
	State(ctx context.Context, engine upstreamstate.Upstream) (EngineState, error)
	Order(ctx context.Context, engine upstreamstate.Upstream, o Order) error
}

// Settings of a Keeper.
type Settings struct {
	// Instance gives the orders under its name.
	Instance string
	// LeaseTerm is the time in which two holders must not take turns.
	LeaseTerm time.Duration
	// CheckEvery is the time between looks.
	CheckEvery time.Duration
	// MaxConcurrentChanges bounds the engines that change while requests are served.
	MaxConcurrentChanges int
	// AnnounceDelay is the time from the word to all instances that an engine takes no
	// requests to its order: what they send meanwhile would be refused. Words reach
	// all within 0.4 s where no datagram is lost.
	AnnounceDelay time.Duration
	// ConfirmChecks is how many looks on end must find the split wrong before an
	// order is given: engines that restart are missing for a few seconds.
	ConfirmChecks int
	// InitialTarget is the split of a deployment that has not served yet; from then on
	// it follows what the engines are used for, as Balance says.
	InitialTarget roles.Target
	SplitPolicy   roles.SplitPolicy
}

// View is what the keeper needs to know of the data path.
type View interface {
	// Engines are the engines of all services that take requests, by service.
	Engines() map[string][]upstreamstate.Engine
	// Times are what the engines of a service take.
	Times(service string) upstreamstate.Times
	// MarkUnavailable has all instances leave an engine out for a time.
	MarkUnavailable(engine string, d time.Duration)
	// Serving tells whether requests came lately.
	Serving() bool
	// Candidates are the names of the live instances that may hold the lease, as far
	// as it is known here.
	Candidates() []string
}

// Duty is done by whoever holds the lease, besides the roles. It is used by one goroutine.
type Duty interface {
	// Reset forgets what was known under an earlier lease.
	Reset()
	// Do does what is due, under a grant that lasts for as long as the context. It is
	// called at each look, once the calls of an earlier holder have arrived.
	Do(ctx context.Context, grant lease.Grant)
}

// Keeper does the duty.
type Keeper struct {
	settings Settings
	table    platform.Table
	orderer  Orderer
	view     View
	duties   []Duty
	log      *slog.Logger

	machine *lease.Lease
	held    bool
	// heldSince is when this process took the lease.
	heldSince time.Duration
	pending   map[string]pending
	// announced are the orders that the instances have been told of.
	announced map[string]announced
	services  map[string]*duty
	// watches tells that this instance may be the next holder.
	watches bool
	// use is what the engines of each service are used for. Those who watch the
	// lease measure it, so that the next holder knows.
	use        map[string]roles.Workload
	measuredAt time.Duration
	// lookedAt is when the last look was, sinceLook the time from the one before
	// to it.
	lookedAt, sinceLook time.Duration
}

// duty is what the holder knows of a service's engines.
type duty struct {
	// target is the wanted split, kept the one that the store has.
	target, kept roles.Target
	follower     roles.TargetTracker
	// wrong counts the looks on end that found the split wrong, engines is how
	// many there were.
	wrong, engines int
}

// LeaseName names the lease; one is enough for the duties of one deployment.
const LeaseName = "roles"

// New returns a keeper.
func New(s Settings, table platform.Table, orderer Orderer, view View, duties []Duty, log *slog.Logger) *Keeper {
	self := s.Instance + "/" + uuid.NewString()
	return &Keeper{
		settings: s, table: table, orderer: orderer, view: view, duties: duties, log: log,
		machine: lease.New(self, leaseSettings(s.LeaseTerm), uuid.NewString),
		pending: map[string]pending{}, announced: map[string]announced{}, services: map[string]*duty{}, use: map[string]roles.Workload{},
	}
}

// Run works until the context ends, then gives the lease up.
func (k *Keeper) Run(ctx context.Context) {
	const tick = 100 * time.Millisecond // well below each of the lease's times
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	next := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			k.release()
			return
		case <-ticker.C:
		}
		k.place()
		k.drive(ctx)
		k.measure()
		if now := bootclock.Now(); k.held && now >= next {
			next = now + k.settings.CheckEvery
			k.look(ctx)
			k.doDuties(ctx)
		}
		k.giveAnnounced(ctx)
	}
}
