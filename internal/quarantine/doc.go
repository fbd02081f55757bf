// Package quarantine recognizes requests whose content crashes the upstreams that run it, and decides which
// contents must not be sent to any upstream. Such a request comes again under other ids and at any instance,
// so all instances share the crashes that they observe.
//
// An upstream that crashes takes all its requests with it, and all but one of them are there by chance. So
// one crash says little about a content, and crashes of several upstreams under the same content say much.
// Once a content has been served, its earlier crashes no longer count.
//
// Inputs are observed and reported crashes, served contents, and the decisions of other instances. Outputs
// are the quarantined contents and the crashes to report to other instances. The package does no I/O: times
// are passed in. They must be on a clock that keeps running while the machine is suspended.
//
// Callers: relay and entry (requests), peers through the reports of upstreamstate, instance (stored rows).
package quarantine
