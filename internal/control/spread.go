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

// spreader feeds the decisions of the packages gossip and freshness, and
// carries out what they say. It counts its time on the boot clock, so that
// evidence ages while the process is frozen or the machine suspended.
type spreader struct {
	daemon  *Daemon
	log     *slog.Logger
	metrics spreadMetrics
	// wake is sent to when queue has got actions.
	wake chan struct{}

	mu       sync.Mutex // protects all below
	machine  *gossip.Machine
	fresh    *freshness.State
	draining *gossip.DrainingSet
	queue    []gossip.Action
	// tableError is why the last read of the table failed; "" when it did not.
	tableError string
	wasFresh   bool
}

// spreadMeters count what the spread costs.
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
		wake: make(chan struct{}, 1), machine: machine, fresh: fresh,
		draining: gossip.NewDrainingSet(s.ListLag),
	}
}

// wait ends after the period, when the channel is closed, or with the context.
func wait(ctx context.Context, period time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// loop carries out what the machine asks for until the context ends.
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

// due takes the actions that are due, and the time until the next ones are.
func (s *spreader) dueActions() ([]gossip.Action, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	ticked, next := s.machine.Tick(now, s.needsContacts(now))
	actions := append(s.queue, ticked...)
	s.queue = nil
	s.noteFreshness(s.fresh.Status(now))
	if s.fresh.Voter() {
		s.metrics.voter.Update(1)
	}
	return actions, next - now
}

// hurried tells whether the answers of a majority may soon be needed, because
// the table has not been read for a while.
func (s *spreader) needsContacts(now time.Duration) bool {
	age, seen := s.fresh.TableAge(now)
	return !seen || age > s.daemon.settings.Spread.FreshFor/3
}

// noteFreshness logs a change of the decision.
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
	s.log.Warn("spread: the configuration may be out of date", "reason", status.Reason)
}

// enqueue has the loop carry out actions, and look at what is due. The mutex
// is held.
func (s *spreader) enqueue(actions []gossip.Action) {
	s.queue = append(s.queue, actions...)
	select {
	case s.wake <- struct{}{}:
	default: // the loop was woken already
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

// readHead reads the head's version, and takes it as evidence.
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

// poll reads the newest version from the table at once.
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

// learn takes a configuration from any source.
func (d *Daemon) adoptConfig(doc *config.Config, source string) {
	if d.holder.SetIfNewer(doc) {
		d.log.Info("spread: version learned", "version", doc.Version, "source", source)
	}
	d.spread.setHeldVersion(d.holder.Current().Version)
}

// holds takes that the holder has a version now.
func (s *spreader) setHeldVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.version.Update(version)
	s.fresh.SetHeld(version)
	s.enqueue(s.machine.OnNewVersion(version))
}

// offered takes that a peer holds a version, and returns what to answer.
func (s *spreader) onOffer(version int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh.NoteVersion(version)
	return s.machine.OnOffer(bootclock.Now(), version)
}

// listed takes the instance list, as it was asked for at a time.
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

// status decides whether the configuration may be taken for the newest.
func (s *spreader) status() freshness.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.fresh.Status(bootclock.Now())
	if !status.Fresh && s.tableError != "" {
		status.Reason += " (" + s.tableError + ")"
	}
	return status
}

// leavingUpstreams returns the ids of upstreams that are leaving by the
// platform's word.
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
	s.log.Debug("spread: a peer did not answer", "peer", peer, "error", err)
}
