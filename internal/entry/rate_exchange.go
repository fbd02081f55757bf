package entry

import (
	"context"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// Demand implements the EntryService. It returns the demand of each organisation at this entry.
func (l *localService) Demand(context.Context, *connect.Request[sfv1.DemandRequest]) (*connect.Response[sfv1.DemandResponse], error) {
	r := l.server.rates
	r.mu.Lock()
	defer r.mu.Unlock()
	response := &sfv1.DemandResponse{}
	for name, rate := range r.limiter.Demand(l.server.now()) {
		response.Demand = append(response.Demand, &sfv1.OrganisationRate{Organisation: name, Rate: float32(rate)})
	}
	return connect.NewResponse(response), nil
}

// Share implements the EntryService. It sets the number of entries and the total demand of each
// organisation.
func (l *localService) Share(_ context.Context, req *connect.Request[sfv1.ShareRequest]) (*connect.Response[sfv1.ShareResponse], error) {
	entries := int(req.Msg.Entries)
	l.server.admission.setEntries(entries)
	totals := make(map[string]float64, len(req.Msg.Totals))
	for _, total := range req.Msg.Totals {
		totals[total.Organisation] = float64(total.Rate)
	}
	r := l.server.rates
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.SetEntries(entries, l.server.now())
	r.limiter.SetTotals(totals, l.server.now())
	return connect.NewResponse(&sfv1.ShareResponse{}), nil
}
