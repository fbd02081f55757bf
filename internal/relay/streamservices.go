package relay

import (
	"slices"
	"sync"
	"time"

	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/streamversions"
)

// maxPastTables bounds the earlier configurations that are kept. The oldest ones are dropped.
const maxPastTables = 16

// pastTables has the routes of earlier configurations whose streams callers may still take up, where they shared the
// traffic of streams in another way.
type pastTables struct {
	mu   sync.Mutex // protects list
	list []pastTable
}

// pastTable is an earlier configuration. Only its resumable routes are kept.
type pastTable struct {
	table   *routes.Table
	expires time.Duration
}

// add keeps a configuration that was replaced by another one.
func (p *pastTables) add(replaced, by *routes.Table, now time.Duration) {
	streams := resumableRoutes(replaced)
	if len(streams) == 0 || slices.EqualFunc(streams, resumableRoutes(by), sharesAlike) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, pastTable{routes.NewTable(replaced.Version, streams, nil, routes.Limits{}), now + streamversions.MaxLifetime})
	p.list = slices.Clone(p.list[max(0, len(p.list)-maxPastTables):])
}

// match returns the routes of a request in the configurations that are kept.
func (p *pastTables) match(host, path string, now time.Duration) []*routes.Route {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = slices.DeleteFunc(p.list, func(t pastTable) bool { return now >= t.expires })
	var list []*routes.Route
	for _, past := range p.list {
		if route := past.table.Match(host, path); route != nil {
			list = append(list, route)
		}
	}
	return list
}

func resumableRoutes(t *routes.Table) []routes.Route {
	var list []routes.Route
	for _, route := range t.Routes {
		if route.Kind == routes.Generation && route.Resumable {
			list = append(list, route)
		}
	}
	return list
}

// sharesAlike reports whether two routes send the same requests to the same services.
func sharesAlike(a, b routes.Route) bool {
	return a.Host == b.Host && a.Prefix == b.Prefix && slices.Equal(a.Shares, b.Shares)
}

// serviceFor returns the service that a request goes to. A stream that is taken up goes on at the service that began it;
// the error is a refusal if that is not known.
func (r *Relay) serviceFor(route *routes.Route, req *Request) (string, error) {
	service := route.Pick(hashFraction(req.streamID()))
	if req.LastEvent == "" || route.Kind != routes.Generation {
		return service, nil
	}
	now := r.now()
	if began := r.recordedService(req.Resumes, now); began != "" {
		return began, nil
	}
	for _, possible := range append(r.pastTables.match(req.Host, req.Path, now), route) {
		if !isOnlyService(possible, req, service) {
			r.meters.continuations.refusedService.Inc(1)
			r.log.Info("relay: stream cannot continue", "request", req.ID, "resumes", req.Resumes, "last_event", req.LastEvent,
				"reason", "the service that began it is not known", "route", route.Name)
			return "", &Refusal{Outcome: NotRun, Reason: "the stream's service is not known", RetryIn: r.retryElsewhereIn(req.WaitBudget)}
		}
	}
	return service, nil
}

// recordedService returns the service of a stream that this instance served; empty if it has no record.
func (r *Relay) recordedService(attempt string, now time.Duration) string {
	if attempt == "" {
		return ""
	}
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	return r.versions.records.Get(streamversions.IDOf(attempt), now).Service
}

// isOnlyService reports whether a route can have sent a stream that is taken up to no other service than the given one.
// The service follows from the id of the attempt that began the stream, if the caller names it.
func isOnlyService(route *routes.Route, req *Request, service string) bool {
	if req.Resumes != "" {
		return route.Pick(hashFraction(req.Resumes)) == service
	}
	return !slices.ContainsFunc(route.Shares, func(s routes.Share) bool { return s.Weight > 0 && s.Service != service })
}

// forwardedService returns the service that the instance which forwarded a request chose. The error is a refusal if this
// instance's configuration does not have it.
func (r *Relay) forwardedService(route *routes.Route, f *Forwarded) (string, error) {
	if f.Service == 0 {
		return r.serviceFor(route, f.Request)
	}
	for _, share := range route.Shares {
		if serviceHash(share.Service) == f.Service {
			return share.Service, nil
		}
	}
	if name := r.serviceName(f.Service); name != "" {
		return name, nil
	}
	return "", &Refusal{Outcome: NotRun, Reason: "the request's service is not known", RetryIn: r.settings.RetryIn, Elsewhere: true}
}
