package httptransport

// Option is an option of a RoundTripper of this package.
type Option func(*transport)

// WithRequestIDs is for peers whose responses have the ID of their request, in the given header of both. A connection then carries no ID
// twice, so that the ID tells to which send a response belongs: a request with an ID that the connection has carried is sent on another
// one, and a whole response to an earlier request is dropped.
func WithRequestIDs(header string) Option {
	return func(t *transport) { t.settings.idHeader = header }
}
