package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// cutTimeout bounds the last words to callers whose answers did not end within
// the shutdown timeout.
const cutTimeout = 2 * time.Second

// stop leaves without cutting an answer off: unready first, then it goes on
// taking what the balancer still sends for its lag, then it takes nothing new
// and waits for each answer. What is left at the shutdown timeout is told to
// resume on another instance, and stays at its engine until then.
func (s *Server) stop(ctx context.Context, cut context.CancelCauseFunc, public, local *http.Server) error {
	s.stopping.Store(true)
	s.log.Info("entry: not ready any more, stopping")
	time.Sleep(s.settings.BalancerLag)
	err := shutdown(ctx, public, s.settings.ShutdownTimeout)
	if err != nil {
		s.log.Warn("entry: answers left at the shutdown timeout are cut off")
		cut(errStopping)
		err = shutdown(context.WithoutCancel(ctx), public, cutTimeout)
	}
	s.background.Wait()
	s.once.Wait()
	if err != nil {
		return errors.Wrap(err, "entry: answers left at shutdown")
	}
	s.log.Info("entry: all answers finished")
	return errors.Wrap(local.Close(), "entry: local")
}

func shutdown(ctx context.Context, server *http.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return server.Shutdown(ctx)
}

// perRequest prepares the connection. While the process stops, each answer
// asks for the connection's end, so that no request meets its closing: an idle
// one is closed only after the balancer's lag.
func (s *Server) perRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // an earlier answer's
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
