package httptransport

import (
	"log/slog"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/readlimit"
)

// Bounded returns a RoundTripper like Isolate whose responses' heads are bounded. It closes a connection at once that
// exceeds the bounds; the request fails with an *readlimit.Exceeded, and RecordCutOff records it. The name of the kind
// of peer is for metrics and logs.
//
// http.Transport.MaxResponseHeaderBytes alone bounds no time, and tells a bound that was reached by the text of an
// error only.
func Bounded(base *http.Transport, peer string, limits readlimit.HeadLimits, options ...Option) http.RoundTripper {
	return newTransport(base, connSettings{peer: peer, limits: &limits}, options)
}

// RecordCutOff counts and logs a message of a peer that was cut off at a bound, if the error is one of those.
func RecordCutOff(peer, address string, err error) {
	var exceeded *readlimit.Exceeded
	if !errors.As(err, &exceeded) {
		return
	}
	metrics.GetOrRegisterCounter("input.cut_off."+peer+"."+string(exceeded.Part), metrics.DefaultRegistry).Inc(1)
	slog.Default().Info("input: cut off", "peer", peer, "address", address, "part", exceeded.Part,
		"bound", exceeded.Bound(), "received", exceeded.Received, "after", exceeded.After)
}
