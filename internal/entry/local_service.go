package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// localService implements the EntryService, which the instance's sf-control calls.
type localService struct {
	server *Server
}

// Apply implements the EntryService. It applies a configuration or a heartbeat.
func (l *localService) Apply(_ context.Context, req *connect.Request[sfv1.ApplyRequest]) (*connect.Response[sfv1.ApplyResponse], error) {
	var doc *config.Config
	if len(req.Msg.Document) > 0 {
		decoded, err := config.Decode(req.Msg.Document)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		doc = decoded
	}
	before := l.server.state.config().Version
	beat := heartbeat{
		at: bootclock.Now(), version: req.Msg.Version, reason: req.Msg.StaleReason,
		freshUntil: time.Duration(req.Msg.Clock + req.Msg.FreshForNs),
	}
	version := l.server.state.apply(doc, req.Msg.Leaving, beat)
	if version != before {
		l.server.log.Info("config: version in force", "version", version)
	}
	return connect.NewResponse(&sfv1.ApplyResponse{Version: version, Clock: int64(bootclock.Now())}), nil
}

// Status implements the EntryService. It reports readiness, demand and streams.
func (l *localService) Status(context.Context, *connect.Request[sfv1.StatusRequest]) (*connect.Response[sfv1.StatusResponse], error) {
	response := &sfv1.StatusResponse{
		Version: l.server.state.config().Version,
		Ready:   !l.server.stopping.Load() && l.server.checkReady() == nil,
		Demand:  l.server.demand.report(l.server.now()),
	}
	for id, n := range l.server.state.streams() {
		response.Streams = append(response.Streams, &sfv1.EngineStreams{Engine: id, Streams: int32(n)})
	}
	return connect.NewResponse(response), nil
}
