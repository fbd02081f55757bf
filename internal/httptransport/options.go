package httptransport

import "net/http"

// Option is an option of a RoundTripper of this package.
type Option func(*transport)

// WithRequestIDs is for peers whose responses have the ID of their request, in the given header of both. A connection then carries no ID
// twice, so that the ID tells to which send a response belongs: a request with an ID that the connection has carried is sent on another
// one, and a whole response to an earlier request is dropped.
func WithRequestIDs(header string) Option {
	return func(t *transport) { t.settings.idHeader = header }
}

// WithLastResponse is for peers whose responses have no ID: a connection takes no further request after a response that isLast reports
// true for, as what follows on it may be a copy of that response. A request that the connection refuses is sent on another one.
func WithLastResponse(isLast func(*http.Response) bool) Option {
	return func(t *transport) { t.settings.isLast = isLast }
}
