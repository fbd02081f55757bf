package control

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/bootclock"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/limit"
	"sassafrasfield/internal/platform"
)

// DemandSettings determine how often the entries' shares of the organisations'
// rate limits are updated.
type DemandSettings struct {
	// Every is the mean time between exchanges. Default 1s.
	Every time.Duration `toml:"every"`
	// Keep is how long an instance's reported demand is counted. Default 3s.
	Keep time.Duration `toml:"keep"`
}

// demand sums the demand of the organisations whose home is this instance (see
// limit.Home).
type demand struct {
	rng *rand.Rand // used only by the demand loop
	// lastHomes are the instances that demand was reported to in the last
	// exchange. Used only by the demand loop.
	lastHomes []string

	mu     sync.Mutex // protects totals
	totals *limit.Totals
}

func newDemand(s DemandSettings) *demand {
	return &demand{
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		totals: limit.NewTotals(s.Keep),
	}
}

func (d *demand) report(from string, rates map[string]float64, now time.Duration) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.totals.Report(from, rates, now)
}

// demandLoop periodically exchanges demand, with a jitter of half the period
// either way.
func (d *Daemon) demandLoop(ctx context.Context) {
	every := d.settings.Demand.Every
	for ctx.Err() == nil {
		d.exchangeDemand(ctx)
		wait(ctx, every/2+time.Duration(d.demand.rng.Int64N(int64(every))), nil)
	}
}

// exchangeDemand reports the demand of the local entry to the homes of its
// organisations, and passes the totals in their answers to the entry. A
// home that does not answer is skipped. The entry falls back to an equal share
// when its totals are too old.
func (d *Daemon) exchangeDemand(ctx context.Context) {
	live := map[string]platform.Instance{}
	var ids []string
	for _, instance := range d.members.liveOwn() {
		live[instance.ID] = instance
		ids = append(ids, instance.ID)
	}
	if len(ids) == 0 {
		return // no list yet; the entry keeps its last totals
	}
	own, err := d.entry.client.Demand(ctx, connect.NewRequest(&sfv1.DemandRequest{}))
	if err != nil {
		d.log.Debug("demand: the entry did not answer", "error", err)
		return
	}
	share := &sfv1.ShareRequest{Entries: int32(len(ids))}
	homes := groupByHome(own.Msg.Demand, ids)
	d.demand.lastHomes = addWithdrawals(homes, d.demand.lastHomes, live)
	for home, rates := range homes {
		totals, err := d.requestTotals(ctx, live[home], rates)
		if err != nil {
			d.log.Debug("demand: a home did not answer", "peer", home, "error", err)
			continue
		}
		share.Totals = append(share.Totals, totals...)
	}
	if _, err := d.entry.client.Share(ctx, connect.NewRequest(share)); err != nil {
		d.log.Debug("demand: the entry did not answer", "error", err)
	}
}

// groupByHome groups rates by the home of their organisation.
func groupByHome(rates []*sfv1.OrganisationRate, ids []string) map[string][]*sfv1.OrganisationRate {
	homes := map[string][]*sfv1.OrganisationRate{}
	for _, rate := range rates {
		if home := limit.Home(rate.Organisation, ids); home != "" {
			homes[home] = append(homes[home], rate)
		}
	}
	return homes
}

// addWithdrawals adds an empty report for each home that received demand in the
// last exchange and has none now. It returns the homes that have demand now.
func addWithdrawals(homes map[string][]*sfv1.OrganisationRate, before []string, live map[string]platform.Instance) []string {
	current := slices.Collect(maps.Keys(homes))
	for _, home := range before {
		if _, ok := live[home]; ok && homes[home] == nil {
			homes[home] = []*sfv1.OrganisationRate{}
		}
	}
	return current
}

// requestTotals reports rates to a home and returns the totals.
func (d *Daemon) requestTotals(ctx context.Context, home platform.Instance, rates []*sfv1.OrganisationRate) ([]*sfv1.OrganisationRate, error) {
	request := &sfv1.TotalRequest{From: d.settings.Instance, Demand: rates}
	if home.ID == d.settings.Instance {
		return d.addDemand(request), nil
	}
	response, err := d.peer(home.Control).Total(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg.Totals, nil
}

// addDemand records an instance's demand and returns the totals of its
// organisations.
func (d *Daemon) addDemand(request *sfv1.TotalRequest) []*sfv1.OrganisationRate {
	rates := make(map[string]float64, len(request.Demand))
	for _, rate := range request.Demand {
		rates[rate.Organisation] = float64(rate.Rate)
	}
	totals := d.demand.report(request.From, rates, bootclock.Now())
	var list []*sfv1.OrganisationRate
	for name, total := range totals {
		list = append(list, &sfv1.OrganisationRate{Organisation: name, Rate: float32(total)})
	}
	return list
}

// Total implements the PeerService.
func (p *peerService) Total(_ context.Context, req *connect.Request[sfv1.TotalRequest]) (*connect.Response[sfv1.TotalResponse], error) {
	return connect.NewResponse(&sfv1.TotalResponse{Totals: p.daemon.addDemand(req.Msg)}), nil
}
