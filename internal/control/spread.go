package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/freshness"
	"sassafrasfield/internal/gossip"
	"sassafrasfield/internal/platform"
)

// spreader distributes configuration versions between the instances. It passes
// its inputs to the packages gossip and freshness, and carries out the actions
// that they return. It uses the boot clock, so that evidence also ages while
// the process is frozen or the machine is suspended.
type spreader struct {
	daemon  *Daemon
	log     *slog.Logger
	metrics spreadMetrics
	// wake is signalled when actions are added to queue.
	wake chan struct{}

	mu       sync.Mutex // protects the fields below
	machine  *gossip.Machine
	fresh    *freshness.State
	draining *gossip.DrainingSet
	// drainingKnown is set once an instance list was read, here or by a peer that passed its own on.
	drainingKnown bool
	queue         []gossip.Action
	// tableError is the error of the last read of the table, or "" if it
	// succeeded.
	tableError string
	wasFresh   bool
	// tickAt is when the next tick was due, lateness how late it came.
	tickAt, lateness time.Duration
	// failedCalls counts the calls to peers that failed since the last exchange that succeeded.
	failedCalls int
}

// spreadMetrics count the exchanges and table reads, and show the current
// state.
type spreadMetrics struct {
	exchanges, offers, documents, deltas, polls, failed metrics.Counter
	version, fresh, voter                               metrics.Gauge
}

func newSpreadMetrics(registry metrics.Registry) spreadMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("spread."+name, registry) }
	return spreadMetrics{
		exchanges: counter("exchanges"), offers: counter("offers"), documents: counter("documents_sent"), deltas: counter("deltas_sent"),
		polls: counter("head_reads"), failed: counter("peer_failures"),
		version: metrics.GetOrRegisterGauge("spread.version", registry),
		fresh:   metrics.GetOrRegisterGauge("spread.fresh", registry),
		voter:   metrics.GetOrRegisterGauge("spread.voter", registry),
	}
}

func newSpreader(d *Daemon, log *slog.Logger) *spreader {
	s := d.settings.Spread
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machine := gossip.NewMachine(gossip.Settings{
		PollEvery: s.PollEvery, TableReadsPerSecond: float64(s.TableReads),
		ExchangeEvery: s.ExchangeEvery, Fanout: s.Fanout,
	}, rng)
	machine.SetPeers(s.Seeds)
	fresh := freshness.New(d.settings.Instance, freshness.Settings{
		FreshFor: s.FreshFor, AcceptWithin: s.AcceptWithin, ReadLag: s.ReadLag,
	}, bootclock.Now())
	return &spreader{
		daemon: d, log: log, metrics: newSpreadMetrics(metrics.DefaultRegistry),
		wake: make(chan struct{}, 1), machine: machine, fresh: fresh, tickAt: bootclock.Now(),
		draining: gossip.NewDrainingSet(s.ListLag),
	}
}

// wait returns after the period, when the channel receives or is closed, or
// when the context ends.
func wait(ctx context.Context, period time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// loop carries out the machine's actions until the context ends.
func (s *spreader) loop(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for ctx.Err() == nil {
		actions, next := s.dueActions()
		for _, action := range actions {
			work.Go(func() { s.carryOut(ctx, action) })
		}
		wait(ctx, next, s.wake)
	}
}

// dueActions returns the actions that are due, and the time until the next
// ones.
func (s *spreader) dueActions() ([]gossip.Action, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	s.lateness = max(0, now-s.tickAt)
	ticked, next := s.machine.Tick(now, s.needsContacts(now))
	s.tickAt = next
	actions := append(s.queue, ticked...)
	s.queue = nil
	s.noteFreshness(s.fresh.Status(now))
	if s.fresh.Voter() {
		s.metrics.voter.Update(1)
	}
	return actions, next - now
}

// needsContacts reports whether the answers of a majority may be needed soon,
// because the last known read of the table is too old.
func (s *spreader) needsContacts(now time.Duration) bool {
	age, seen := s.fresh.TableAge(now)
	return !seen || age > s.daemon.settings.Spread.FreshFor/3
}

// noteFreshness logs a change between fresh and not fresh. The mutex must be
// held.
func (s *spreader) noteFreshness(status freshness.Status) {
	if status.Fresh == s.wasFresh {
		return
	}
	s.wasFresh = status.Fresh
	if status.Fresh {
		s.metrics.fresh.Update(1)
		s.log.Info("spread: the configuration is the newest", "by", status.Rule)
		return
	}
	s.metrics.fresh.Update(0)
	s.log.Warn("spread: the configuration may be out of date", "reason", status.Reason, "tick_late", s.lateness, "failed_calls", s.failedCalls)
}

// enqueue adds actions to the queue and wakes the loop. The mutex must be held.
func (s *spreader) enqueue(actions []gossip.Action) {
	s.queue = append(s.queue, actions...)
	select {
	case s.wake <- struct{}{}:
	default: // already signalled
	}
}

func (s *spreader) carryOut(ctx context.Context, action gossip.Action) {
	switch a := action.(type) {
	case gossip.PollHead:
		s.pollHead(ctx)
	case gossip.Load:
		s.loadVersion(ctx, a.Version)
	case gossip.Exchange:
		s.exchange(ctx, a.Peer)
	case gossip.Offer:
		s.offerVersion(ctx, a.Peer)
	case gossip.Send:
		s.sendUpdate(ctx, a.Peer, a.PeerVersion)
	case gossip.Fetch:
		s.fetchUpdate(ctx, a.Peer)
	}
}

func (s *spreader) pollHead(ctx context.Context) {
	head, err := s.readHead(ctx)
	if err != nil {
		s.log.Debug("spread: the table did not answer", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.OnHeadRead(bootclock.Now(), head)
	s.enqueue(nil)
}

// readHead reads the head's version and records the read as evidence of
// freshness.
func (s *spreader) readHead(ctx context.Context) (int64, error) {
	s.metrics.polls.Inc(1)
	sent := bootclock.Now()
	head, err := s.daemon.versions.Head(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.tableError = err.Error()
		return 0, err
	}
	s.tableError = ""
	s.fresh.HeadRead(sent, head.Version)
	return head.Version, nil
}

func (s *spreader) loadVersion(ctx context.Context, version int64) {
	doc, err := s.daemon.versions.Load(ctx, version)
	if err != nil {
		s.log.Debug("spread: the table did not answer", "error", err)
		return
	}
	s.daemon.adoptConfig(doc, "table")
}

// pollTable reads the newest version from the table immediately.
func (d *Daemon) pollTable(ctx context.Context) error {
	head, err := d.spread.readHead(ctx)
	if err != nil || head <= d.holder.Current().Version {
		return err
	}
	doc, err := d.versions.Load(ctx, head)
	if err != nil {
		return err
	}
	d.adoptConfig(doc, "table")
	return nil
}

// adoptConfig sets the held configuration if doc is newer. The source is only
// logged.
func (d *Daemon) adoptConfig(doc *config.Config, source string) {
	if d.holder.SetIfNewer(doc) {
		d.log.Info("spread: version learned", "version", doc.Version, "source", source)
	}
	d.spread.setHeldVersion(d.holder.Current().Version)
}

// setHeldVersion records the version that the holder has now.
func (s *spreader) setHeldVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.version.Update(version)
	s.fresh.SetHeld(version)
	s.enqueue(s.machine.OnNewVersion(version))
}

// onOffer records that a peer holds a version, and returns the version to
// answer with.
func (s *spreader) onOffer(version int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh.NoteVersion(version)
	return s.machine.OnOffer(bootclock.Now(), version)
}

// setMembers sets the listed own instances and the addresses of the peers.
func (s *spreader) setMembers(members []platform.Instance, peers []string) {
	ids := make([]string, len(members))
	for i, instance := range members {
		ids[i] = instance.ID
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh.SetMembers(ids)
	s.machine.SetPeers(peers)
}

// status returns whether the configuration can be treated as the newest.
func (s *spreader) status() freshness.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.fresh.Status(bootclock.Now())
	if !status.Fresh && s.tableError != "" {
		status.Reason += " (" + s.tableError + ")"
	}
	return status
}

// knowsDraining reports whether it is known which upstreams are draining.
func (s *spreader) knowsDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainingKnown
}

// drainingUpstreams returns the IDs of the upstreams that the platform
// announced as draining.
func (s *spreader) drainingUpstreams() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.draining.Ages(bootclock.Now()) {
		ids = append(ids, id)
	}
	return ids
}

func (s *spreader) peerContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.daemon.settings.Spread.PeerTimeout)
}

func (s *spreader) onPeerVersion(peer string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(s.machine.OnPeerAnswer(bootclock.Now(), peer, version))
}

func (s *spreader) peerFailed(peer string, err error) {
	s.metrics.failed.Inc(1)
	s.mu.Lock()
	s.failedCalls++
	s.mu.Unlock()
	s.log.Debug("spread: call to a peer failed", "peer", peer, "error", err)
}
