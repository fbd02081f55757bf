// Package quarantine recognizes requests whose content ends the upstreams that run it,
// and says which contents no upstream may get any more. Such a request comes again under
// other ids, at any instance: all instances share what they saw of it.
//
// An upstream that ends takes all its requests with it, and all but one of them are there
// by chance. So one end says little of a content, and the ends of several upstreams under
// the same content say much. A content that was served counts no end from before.
//
// It is pure: times are passed in. They are to be on a clock that goes on while the
// machine is suspended.
//
// Callers: relay (requests), peers by way of upstreamstate's reports, instance (rows).
package quarantine
