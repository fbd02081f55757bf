// Package quarantine recognizes what crashes the upstreams that serve it, and decides what must not be sent to any
// upstream. That may be the content of a whole request, which callers repeat under other ids, or a part of prompts
// that requests of any content share. As such requests come at any instance, all instances share the crashes that
// they observe, and what was served.
//
// A crash interrupts all requests that the upstream is serving, and usually only one of them caused it. One crash is
// therefore weak evidence against their contents and parts, and several crashes under the same one are strong
// evidence. An answer is evidence that the crashes before had other causes.
//
// Inputs are observed and reported crashes, what was served here and elsewhere, and the decisions of other instances.
// Outputs are the quarantined subjects and what to report to other instances. The package does no I/O: times are passed
// in. They must be on a clock that keeps running while the machine is suspended.
//
// Callers: relay and entry (requests), peers through the reports of upstreamstate, instance (stored rows).
package quarantine
