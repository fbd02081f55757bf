package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// abortTimeout bounds the shutdown after the answers that were left at the shutdown timeout are aborted.
// Within it, their callers are told to resume.
const abortTimeout = 2 * time.Second

// stop shuts down without aborting answers: the server first reports that it is not ready, then accepts
// the requests that the load balancer still sends during its lag, then accepts no more requests and waits
// for the running answers. Callers whose answers are incomplete at the shutdown timeout are told to resume
// on another instance; the streams stay at their engines until then.
func (s *Server) stop(ctx context.Context, abort context.CancelCauseFunc, public, local *http.Server) error {
	s.stopping.Store(true)
	s.log.Info("entry: shutting down, reporting not ready")
	time.Sleep(s.settings.BalancerLag)
	err := shutdown(ctx, public, s.settings.ShutdownTimeout)
	if err != nil {
		s.log.Warn("entry: shutdown timeout expired, aborting the remaining answers")
		abort(errStopping)
		err = shutdown(context.WithoutCancel(ctx), public, abortTimeout)
	}
	s.background.Wait()
	s.idempotencyRunner.Wait()
	if err != nil {
		return errors.Wrap(err, "entry: answers incomplete at shutdown")
	}
	s.log.Info("entry: all answers finished")
	return errors.Wrap(local.Close(), "entry: close the local listener")
}

func shutdown(ctx context.Context, server *http.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return server.Shutdown(ctx)
}

// prepareConnection resets the connection's write deadline. During shutdown, it asks the client to close
// the connection after each answer, so that no request is sent on a connection that is being closed: idle
// connections are closed only after the load balancer's lag.
func (s *Server) prepareConnection(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // clears the deadline of an earlier answer
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
