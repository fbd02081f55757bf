package entry

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/connlimit"
	"sassafrasfield/internal/logging"
)

const (
	// headerTimeout bounds the time to read a request's head.
	headerTimeout = 10 * time.Second
	// heapShare is the part of the memory above which the garbage collector runs more often. The rest is for what is no
	// heap, such as code and the kernel's queues.
	heapShare = 0.6
)

// newConnLimiter returns the limiter of the connections of callers.
func (s *Server) newConnLimiter() *connlimit.Limiter {
	return connlimit.New(connlimit.Options{
		Name: "callers", Bounds: s.settings.connectionBounds(),
		MaxHeadBytes: func() int { return s.settings.Limits.MaxHeaderBytes }, HeadTimeout: headerTimeout,
		MaxBodyBytes: func() int64 { return int64(s.settings.Limits.MaxBodyBytes) },
		Refusal:      connRefusal, Log: logging.Part(s.log, "connections"),
	})
}

// noRoom is the refusal of a request that there is no room for.
func noRoom() *refusal {
	return notRun("no_room", "there is no room for this request", defaultRetryAfter)
}

// connRefusal returns the response to a request that is refused before a handler runs.
func connRefusal(status int) connlimit.Refusal {
	refused := noRoom().body
	if status == http.StatusRequestHeaderFieldsTooLarge {
		refused = callerapi.Error{
			Message: "the headers are too large", Type: "invalid_request_error", Code: "headers_too_large", Outcome: callerapi.OutcomeNotRun,
		}
	}
	body, err := json.Marshal(callerapi.ErrorBody{Error: refused})
	if err != nil {
		panic(err) // the type has no values that cannot be encoded
	}
	return connlimit.Refusal{
		Header: http.Header{callerapi.HeaderOutcome: {string(callerapi.OutcomeNotRun)}, "Content-Type": {"application/json"}},
		Body:   string(body),
	}
}

// newPublicServer returns the server for callers, and its listener.
func (s *Server) newPublicServer(base context.Context) (*http.Server, net.Listener, error) {
	listener, err := connlimit.Listen(s.settings.Listen, s.settings.Limits.ReadBufferBytes)
	if err != nil {
		return nil, nil, err
	}
	limiter := s.newConnLimiter()
	server := &http.Server{
		Handler:           limiter.Handler(s.handler()),
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: s.settings.Limits.MaxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return base },
		ConnState:   limiter.ConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			s.limitWriteBuffer(conn)
			return limiter.ConnContext(ctx, conn)
		},
	}
	return server, limiter.Listener(listener), nil
}

// boundHeap sets the limit of the garbage collector.
func (s *Server) boundHeap() {
	debug.SetMemoryLimit(int64(math.Round(float64(s.settings.Limits.MemoryMB<<20) * heapShare)))
}
