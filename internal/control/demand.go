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

// DemandSettings set how the entries' shares of the organisations' rates are
// kept up to date.
type DemandSettings struct {
	// Every is the mean time between exchanges. Default 1s.
	Every time.Duration `toml:"every"`
	// Keep is how long an instance's demand counts after it was reported.
	// Default 3s.
	Keep time.Duration `toml:"keep"`
}

// demand adds up the demand for the organisations whose home this process is.
type demand struct {
	rng *rand.Rand // used by the demand loop alone
	// asked are the homes of the last exchange; used by the demand loop alone.
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

// demandLoop brings the entry's demand to the organisations' homes and the
// totals back, with jitter.
func (d *Daemon) demandLoop(ctx context.Context) {
	every := d.settings.Demand.Every
	for ctx.Err() == nil {
		d.exchangeDemand(ctx)
		wait(ctx, every/2+time.Duration(d.demand.rng.Int64N(int64(every))), nil)
	}
}

// exchangeDemand is one exchange. A home that does not answer is left out, and
// the entry goes back to an equal share when its totals get old.
func (d *Daemon) exchangeDemand(ctx context.Context) {
	live := map[string]platform.Instance{}
	var ids []string
	for _, instance := range d.members.own() {
		if instance.State == platform.InstanceLive {
			live[instance.ID] = instance
			ids = append(ids, instance.ID)
		}
	}
	if len(ids) == 0 {
		return // no list yet; the entry keeps what it was told last
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

func groupByHome(rates []*sfv1.OrganisationRate, ids []string) map[string][]*sfv1.OrganisationRate {
	homes := map[string][]*sfv1.OrganisationRate{}
	for _, rate := range rates {
		if home := limit.Home(rate.Organisation, ids); home != "" {
			homes[home] = append(homes[home], rate)
		}
	}
	return homes
}

// withdraw adds the homes that were told of some demand in the last exchange
// and of none now, and returns the homes that were told of some now.
func addWithdrawals(homes map[string][]*sfv1.OrganisationRate, before []string, live map[string]platform.Instance) []string {
	current := slices.Collect(maps.Keys(homes))
	for _, home := range before {
		if _, ok := live[home]; ok && homes[home] == nil {
			homes[home] = []*sfv1.OrganisationRate{}
		}
	}
	return current
}

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
