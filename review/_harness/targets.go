package main

import (
	"fmt"
	"strings"
	"time"

	"sassafrasfield/platform/wire"
)

// unsafeRoute returns a route whose requests may run once.
func unsafeRoute(name, prefix, service string) wire.Route {
	return wire.Route{Name: name, Host: host, Prefix: prefix, Kind: wire.KindUnsafe, TimeoutMS: 2500, SLOMS: 150, Service: service, MaxAttempts: 1}
}

// targetCase sends requests with one target before and after a change of the configuration that adds a route. It
// returns the runners and what was sent.
func targetCase(rec *record, dir, target string, added *wire.Route) (map[string]result, []*runner, error) {
	f, err := newFleet(rec, dir)
	if err != nil {
		return nil, nil, err
	}
	defer f.stop()
	runners, err := f.addPlain(threeZones, 3, 121, 5*time.Millisecond)
	if err != nil {
		return nil, nil, err
	}
	others, err := f.addPlain(threeZones, 3, 131, 5*time.Millisecond)
	if err != nil {
		return nil, nil, err
	}
	for _, r := range others {
		r.service = "customs-api"
		if err := r.register(); err != nil {
			return nil, nil, err
		}
	}
	runners = append(runners, others...)
	c := config()
	c.Services = append(c.Services, wire.Service{Name: "customs-api", HealthPath: "/healthz", MaxConns: 110})
	if err := f.configure(c); err != nil {
		return nil, nil, err
	}
	if err := f.addInstances(threeZones, 1); err != nil {
		return nil, nil, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(2 * time.Second)
	results := map[string]result{}
	send := func(when string) {
		for n := range 20 {
			in := f.instances[n%len(f.instances)]
			x := rawCall(in.front(), fmt.Sprintf("%s-%d", when, n), target, 2500*time.Millisecond)
			rec.say("POST %s as %s to %s: status %d, error %v", target, x.id, in.name, x.status, x.err)
			results[x.id] = x
			time.Sleep(20 * time.Millisecond)
		}
	}
	send("before")
	if added != nil {
		c.Routes = append(c.Routes, *added)
		if err := f.configure(c); err != nil {
			return nil, nil, err
		}
		rec.say("the store has acknowledged configuration %d, with the new route %s to %s", f.version, added.Prefix, added.Service)
	}
	time.Sleep(3 * time.Second)
	send("after")
	return results, runners, nil
}

// doubleSlash: a route for all paths is added, and requests come whose path begins with two slashes.
func doubleSlash(rec *record, dir string, trouble bool) ([]string, error) {
	const target = "//label/1"
	var added *wire.Route
	if trouble {
		route := unsafeRoute("rest", "/", "bale-api")
		added = &route
	}
	_, runners, err := targetCase(rec, dir, target, added)
	if err != nil {
		return nil, err
	}
	var breaks []string
	for _, r := range runners {
		for _, run := range r.runsUntilNow() {
			rec.say("runner %s (%s) ran %s: host %s, target %s", r.id, r.service, run.id, run.host, run.target)
			if run.target != target {
				breaks = append(breaks, fmt.Sprintf("%s was sent with the target %s, and %s ran it with the target %s and the host %s", run.id, target, r.id, run.target, run.host))
			}
		}
	}
	return breaks, nil
}

// encodedSlash: a route with a longer prefix is added, and requests come whose path has an encoded slash where that
// prefix ends. The prefix does not begin that path.
func encodedSlash(rec *record, dir string, trouble bool) ([]string, error) {
	const target, prefix = "/label/a7%2F13", "/label/a7/"
	var added *wire.Route
	if trouble {
		route := unsafeRoute("customs", prefix, "customs-api")
		added = &route
	}
	_, runners, err := targetCase(rec, dir, target, added)
	if err != nil {
		return nil, err
	}
	var breaks []string
	for _, r := range runners {
		for _, run := range r.runsUntilNow() {
			rec.say("runner %s (%s) ran %s: host %s, target %s", r.id, r.service, run.id, run.host, run.target)
			if r.service == "customs-api" && !strings.HasPrefix(run.target, prefix) {
				breaks = append(breaks, fmt.Sprintf("%s with the path %s was run by %s of the service %s, whose only route has the prefix %s", run.id, run.target, r.id, r.service, prefix))
			}
		}
	}
	return breaks, nil
}
