package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/relay"
)

const (
	// maxRequestBytes bounds a forwarded request.
	maxRequestBytes = 16 << 20
	// maxListed bounds the instances in one list.
	maxListed = 16
	// noCompression is larger than any message.
	noCompression = 1 << 30
)

// Relay serves forwarded requests; relay.Relay implements it.
type Relay interface {
	ServeForwarded(ctx context.Context, f *relay.Forwarded, w http.ResponseWriter) (attempt.History, error)
	// Reaches reports whether this instance has a path to a service, by the hash of its name.
	Reaches(service uint32) bool
}

// Server accepts the requests that other instances forward.
type Server struct {
	instances Instances
	secret    *Secret
	relay     Relay
	log       *slog.Logger
}

// NewServer returns a server.
func NewServer(instances Instances, secret *Secret, r Relay, log *slog.Logger) *Server {
	return &Server{instances: instances, secret: secret, relay: r, log: log}
}

// Handler returns the path and the handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	path, handler := sfv1connect.NewForwardServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(noCompression))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), connectionKey{}, w)))
	})
}

// connectionKey is the context's key of the http.ResponseWriter below the stream of messages.
type connectionKey struct{}

// authorize returns an error unless the caller is an instance of the system: one that is known by its IP address,
// or that has the secret.
func (s *Server) authorize(ctx context.Context, address string, header http.Header) error {
	host, _, err := net.SplitHostPort(address)
	if err == nil && (s.instances.KnowsHost(host) || s.secret.signed(ctx, header)) {
		return nil
	}
	s.log.Warn("forward: rejected a caller that is no instance", "address", address)
	return connect.NewError(connect.CodePermissionDenied, errors.New("forward: the caller is no instance of the system"))
}

// validate returns an error for a message that no instance sends.
func validate(m *sfv1.ForwardRequest) error {
	for name, missing := range map[string]bool{
		"from": m.GetFrom().GetName() == "", "id": m.GetId() == "", "method": m.GetMethod() == "",
		"path": m.GetPath() == "", "target": m.GetTarget() == "", "timeout_ms": m.GetTimeoutMs() == 0,
	} {
		if missing {
			return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("forward: %s is missing", name))
		}
	}
	return nil
}

// Forward implements sfv1connect.ForwardServiceHandler.
func (s *Server) Forward(ctx context.Context, req *connect.Request[sfv1.ForwardRequest], stream *connect.ServerStream[sfv1.ForwardResponse]) error {
	if err := s.authorize(ctx, req.Peer().Addr, req.Header()); err != nil {
		return err
	}
	if err := validate(req.Msg); err != nil {
		return err
	}
	if err := stream.Send(&sfv1.ForwardResponse{}); err != nil {
		return err // the sender is gone, and nothing ran
	}
	w := &responseWriter{stream: stream, header: http.Header{}}
	w.connection, _ = ctx.Value(connectionKey{}).(http.ResponseWriter)
	history, err := s.relay.ServeForwarded(ctx, requestFromMessage(req.Msg), w)
	return stream.Send(&sfv1.ForwardResponse{End: endToMessage(history, err)})
}

func endToMessage(history attempt.History, err error) *sfv1.ForwardEnd {
	end := &sfv1.ForwardEnd{History: historyToMessage(history)}
	var refusal *relay.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		end.Refusal = refusalToMessage(refusal)
	default:
		end.Aborted, end.Superseded = true, errors.Is(err, relay.ErrSuperseded)
	}
	return end
}

// ListInstances implements sfv1connect.ForwardServiceHandler.
func (s *Server) ListInstances(ctx context.Context, req *connect.Request[sfv1.ListInstancesRequest]) (*connect.Response[sfv1.ListInstancesResponse], error) {
	if err := s.authorize(ctx, req.Peer().Addr, req.Header()); err != nil {
		return nil, err
	}
	list := s.instances.ZoneTargets(req.Msg.GetService())
	if s.relay.Reaches(req.Msg.GetService()) {
		list = append(list, s.instances.Self())
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	response := &sfv1.ListInstancesResponse{}
	for _, p := range list[:min(maxListed, len(list))] {
		response.Instances = append(response.Instances, peers.PeerToMessage(p))
	}
	return connect.NewResponse(response), nil
}

// responseWriter passes an answer on in messages. It implements http.ResponseWriter.
type responseWriter struct {
	stream *connect.ServerStream[sfv1.ForwardResponse]
	// connection is what the messages are written to; nil if unknown.
	connection http.ResponseWriter
	header     http.Header
	begun      bool
	// version is the software version of the engine that generates.
	version string
}

// SetVersion sets the software version that the header of the answer names.
func (w *responseWriter) SetVersion(version string) { w.version = version }

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. A failure to send shows in the next Write.
func (w *responseWriter) WriteHeader(status int) {
	if w.begun {
		return
	}
	w.begun = true
	_ = w.stream.Send(&sfv1.ForwardResponse{Header: &sfv1.ForwardHeader{Status: uint32(status), Header: headerToMessage(w.header), Version: w.version}})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if err := w.stream.Send(&sfv1.ForwardResponse{Data: p}); err != nil {
		return 0, errors.Wrap(err, "forward: send")
	}
	return len(p), nil
}

// SetWriteDeadline implements what http.ResponseController calls. It interrupts a message that the other instance does
// not read.
func (w *responseWriter) SetWriteDeadline(t time.Time) error {
	if w.connection == nil {
		return http.ErrNotSupported
	}
	return http.NewResponseController(w.connection).SetWriteDeadline(t)
}

// FlushError implements what http.ResponseController calls. Each message is sent at once.
func (w *responseWriter) FlushError() error { return nil }
