// Package quarantine recognizes requests whose content crashes the upstreams that run it, and decides which
// contents must not be sent to any upstream. Callers repeat such a request under other ids and at any
// instance, so all instances share the crashes that they observe.
//
// A crash interrupts all requests that the upstream is serving, and usually only one of them caused it. One
// crash is therefore weak evidence against a content, and crashes of several upstreams that were serving the
// same content are strong evidence. Once a content has been served, its earlier crashes no longer count.
//
// Inputs are observed and reported crashes, served contents, and the decisions of other instances. Outputs
// are the quarantined contents and the crashes to report to other instances. The package does no I/O: times
// are passed in. They must be on a clock that keeps running while the machine is suspended.
//
// Callers: relay and entry (requests), peers through the reports of upstreamstate, instance (stored rows).
package quarantine
