// Package rolekeeper keeps the engines of each service at the target split between the prefill and decode
// roles. It observes the engines through a View, and orders role changes through an Orderer. One instance
// at a time does so: the holder of a lease in the platform's table, which also runs the other duties of the
// deployment. The target is a number of engines that is compared with the reported roles. So the restart of
// an instance does not repeat orders.
//
// These engines do not check fencing numbers. A process that takes over the lease therefore waits for the
// length of a lease term before its first order. By then, the last order of the previous holder has
// arrived.
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

// EngineState is the state that an engine reports.
type EngineState struct {
	Role config.Role
	// Busy is true while the engine is carrying out an order.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted since its start.
	AcceptedOrders int64
}

// Order is a request to an engine to change its role.
type Order struct {
	To     config.Role
	Holder string
	// Epoch is the fencing number.
	Epoch int64
	// AcceptedOrders is the expected EngineState.AcceptedOrders of the engine. If the engine has another
	// count, the order has no effect, however late it arrives.
	AcceptedOrders int64
}

// Orderer accesses the control interface of the engines.
type Orderer interface {
	State(ctx context.Context, engine upstreamstate.Upstream) (EngineState, error)
	Order(ctx context.Context, engine upstreamstate.Upstream, o Order) error
}

// Settings are the settings of a Keeper.
type Settings struct {
	// Instance is the name of this instance, which its orders carry.
	Instance string
	// LeaseTerm is the term of the lease.
	LeaseTerm time.Duration
	// CheckEvery is the time between two checks of the split.
	CheckEvery time.Duration
	// MaxConcurrentChanges is the maximum number of engines that change their roles at a time while requests
	// are served. The fraction SplitPolicy.MaxPrefillDecrease of the engines applies instead if it is larger.
	MaxConcurrentChanges int
	// AnnounceDelay is the time between the announcement to all instances that an engine accepts no requests
	// and the order to the engine. The engine would refuse requests that are sent to it after the order.
	// Announcements reach all instances within 0.4 s if no datagram is lost.
	AnnounceDelay time.Duration
	// ConfirmChecks is the number of consecutive checks that must find a wrong split before an order is
	// sent. Engines that restart are missing for a few seconds.
	ConfirmChecks int
	// InitialTarget is the target split of a deployment that has not served yet. Afterwards the target
	// follows the workload of the engines, as SplitPolicy determines.
	InitialTarget roles.Target
	SplitPolicy   roles.SplitPolicy
}

// View is the interface of the data path that the keeper uses.
type View interface {
	// Engines returns the engines of all services that accept requests, by service.
	Engines() map[string][]upstreamstate.Engine
	// Times returns the processing times of the engines of a service.
	Times(service string) upstreamstate.Times
	// MarkUnavailable makes all instances exclude an engine for a time.
	MarkUnavailable(engine string, d time.Duration)
	// Serving reports whether requests arrived recently.
	Serving() bool
	// Candidates returns the names of the live instances that may hold the lease, as far as this instance
	// knows them.
	Candidates() []string
	// ShouldYield reports whether another instance should hold the lease, because the engines are not reached from
	// this one.
	ShouldYield() bool
}

// Duty is a further task of the lease holder. It is used by one goroutine.
type Duty interface {
	// Reset discards the state of an earlier lease.
	Reset()
	// Do does what is due. The grant is valid until the context ends. Do is called at each check, once all
	// calls of earlier holders have arrived.
	Do(ctx context.Context, grant lease.Grant)
}

// Keeper maintains the roles of the engines and runs the other duties while it holds the lease.
type Keeper struct {
	settings Settings
	table    platform.Table
	orderer  Orderer
	view     View
	duties   []Duty
	log      *slog.Logger

	lease *lease.Lease
	held  bool
	// heldSince is when this process acquired or lost the lease.
	heldSince     time.Duration
	pendingOrders map[string]pendingOrder
	// announcedOrders are the orders that were announced to the instances and not sent yet.
	announcedOrders map[string]announcedOrder
	services        map[string]*serviceState
	// yielding is true from the release of the lease for another instance until this one may hold it again.
	yielding bool
	// watchesLease is true if this instance may be the next holder.
	watchesLease bool
	// workloads are the measured workloads by service. The instances that watch the lease measure them too,
	// so that the next holder has them.
	workloads  map[string]roles.Workload
	measuredAt time.Duration
	// checkedAt is the time of the last check, and sinceCheck the time between it and the one before.
	checkedAt, sinceCheck time.Duration
}

// serviceState is the lease holder's state of a service.
type serviceState struct {
	// target is the target split, and stored the one that the store has.
	target, stored roles.Target
	tracker        roles.TargetTracker
	// mismatches counts the consecutive checks that found a wrong split. engineCount is the number of
	// engines at the last mismatch while no requests were served.
	mismatches, engineCount int
	// unmeasuredChanges counts the orders that were sent before the workload was measured.
	unmeasuredChanges int
}

// LeaseName is the name of the lease. One lease is enough for all duties of a deployment.
const LeaseName = "roles"

// New returns a keeper.
func New(s Settings, table platform.Table, orderer Orderer, view View, duties []Duty, log *slog.Logger) *Keeper {
	self := s.Instance + "/" + uuid.NewString()
	return &Keeper{
		settings: s, table: table, orderer: orderer, view: view, duties: duties, log: log,
		lease:         lease.New(self, leaseSettings(s.LeaseTerm), uuid.NewString),
		pendingOrders: map[string]pendingOrder{}, announcedOrders: map[string]announcedOrder{}, services: map[string]*serviceState{}, workloads: map[string]roles.Workload{},
	}
}

// Run runs the keeper until the context ends, then releases the lease.
func (k *Keeper) Run(ctx context.Context) {
	const tick = 100 * time.Millisecond // well below all times of the lease
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	nextCheck := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			k.release()
			return
		case <-ticker.C:
		}
		k.updateYielding()
		k.updateWatchPolicy()
		k.driveLease(ctx)
		k.measureWorkloads()
		if now := bootclock.Now(); k.held && now >= nextCheck {
			nextCheck = now + k.settings.CheckEvery
			k.checkSplits(ctx)
			k.doDuties(ctx)
		}
		k.sendAnnouncedOrders(ctx)
	}
}
