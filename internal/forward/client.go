// Package forward lets an instance that has lost its network path to the upstreams have other instances serve its
// callers' requests. A request is forwarded once at most: the instance that gets it refuses what it cannot serve,
// and the first one tries another instance, of its own zone first.
//
// Client is the sending side, and implements relay.Forwarder. Server is the receiving side; it accepts requests of
// instances of the system only. Messages are those of ForwardService.
package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/httptransport"
	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/readlimit"
	"sassafrasfield/internal/relay"
)

// Timeouts of forwarded requests. A round trip takes 2 ms.
const (
	connectTimeout = 300 * time.Millisecond
	// acceptTimeout is how long the acceptance of a repeatable request may take. An instance that stands still
	// accepts nothing.
	acceptTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = 5 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect connections that deliver nothing any more.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// instancePeer names instances in the metrics and log lines of messages that are cut off.
const instancePeer = "instance"

// maxReplyBytes bounds one message of an answer. The largest one is the buffered first part of an answer, 256 KB; the
// rest is margin.
const maxReplyBytes = 1 << 20

// maxIdlePerInstance bounds the idle connections to an instance.
const maxIdlePerInstance = 16

// Instances is what is known about the other instances; peers.Exchange implements it.
type Instances interface {
	Self() peers.Peer
	// ZoneTargets returns the live instances of this zone with a path to a service; 0 stands for any.
	ZoneTargets(service uint32) []peers.Peer
	// ZoneContacts returns some live instances of each other zone.
	ZoneContacts() map[string][]peers.Peer
	// KnowsHost reports whether an instance has an IP address.
	KnowsHost(ip string) bool
}

// Client forwards requests to other instances. It implements relay.Forwarder and is safe for concurrent use.
type Client struct {
	instances Instances
	secret    *Secret
	http      *http.Client
	targets   *targets
	others    *otherZones
}

// NewClient returns a client.
func NewClient(instances Instances, secret *Secret) *Client {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	c := &Client{instances: instances, secret: secret, targets: newTargets(clock), http: newHTTPClient(instances.Self().Address)}
	c.others = newOtherZones(c.listInstances, clock)
	return c
}

// newHTTPClient returns a client whose connections come from the instance's own address, by which receivers
// recognise it.
func newHTTPClient(ownAddress string) *http.Client {
	dialer := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	if host, _, err := net.SplitHostPort(ownAddress); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	transport := httptransport.Bounded(&http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerInstance, IdleConnTimeout: idleTimeout,
	}, instancePeer, readlimit.ResponseHead())
	return &http.Client{Transport: httptransport.BoundMessages(transport, instancePeer, maxReplyBytes)}
}

// service returns the ForwardService of an instance.
func (c *Client) service(p peers.Peer) sfv1connect.ForwardServiceClient {
	return sfv1connect.NewForwardServiceClient(c.http, "http://"+p.Address, connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxReplyBytes))
}

// Available implements relay.Forwarder.
func (c *Client) Available(service uint32) bool {
	if c.targets.available(c.instances.ZoneTargets(service)) {
		return true
	}
	for _, contacts := range c.instances.ZoneContacts() {
		if c.targets.available(contacts) {
			return true
		}
	}
	return false
}

// Forward implements relay.Forwarder.
func (c *Client) Forward(ctx context.Context, f *relay.Forwarded, excluded map[string]bool) (string, *relay.Reply, error) {
	to, ok := c.pick(ctx, f.Service, excluded)
	if !ok {
		return "", nil, relay.ErrNoInstance
	}
	reply, err := c.forwardTo(ctx, to, f)
	if err != nil {
		c.targets.release(to.Name)
	}
	return to.Name, reply, err
}

// pick chooses an instance for a request, of another zone if there is none in the own one.
func (c *Client) pick(ctx context.Context, service uint32, excluded map[string]bool) (peers.Peer, bool) {
	if to, ok := c.targets.acquire(c.instances.ZoneTargets(service), excluded); ok {
		return to, true
	}
	return c.targets.acquire(c.others.list(ctx, c.instances.ZoneContacts(), service), excluded)
}

// forwardTo forwards a request to an instance, and returns when the answer begins.
func (c *Client) forwardTo(caller context.Context, to peers.Peer, f *relay.Forwarded) (*relay.Reply, error) {
	ctx, cancel := context.WithCancel(caller)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request := connect.NewRequest(requestToMessage(c.instances.Self(), f))
	c.secret.sign(ctx, request.Header())
	accepted := time.AfterFunc(acceptTimeout, func() {
		if f.Repeatable {
			cancel()
		}
	})
	defer accepted.Stop()
	stream, err := c.service(to).Forward(traced, request)
	if err != nil {
		cancel()
		return nil, c.failed(caller, to, connected.Load(), err)
	}
	body := &replyBody{stream: stream, cancel: cancel, release: func() { c.targets.release(to.Name) }}
	if !stream.Receive() {
		body.discard()
		return nil, c.failed(caller, to, connected.Load(), stream.Err())
	}
	accepted.Stop()
	c.targets.recordReached(to.Name, true)
	reply, err := body.begin()
	if err != nil {
		body.discard()
		if blamesInstance(caller, err) {
			c.targets.avoid(to.Name)
		}
		return nil, err
	}
	reply.CheckPeer = func(ctx context.Context) error {
		_, err := c.listInstances(ctx, to, f.Service)
		return err
	}
	return reply, nil
}

// blamesInstance reports whether an error without an answer is a reason to avoid the instance that accepted the
// request. A caller that leaves ends the request too.
func blamesInstance(caller context.Context, err error) bool {
	var refused *relay.PeerRefusal
	if errors.As(err, &refused) {
		return refused.Refusal.Elsewhere
	}
	return caller.Err() == nil
}

// failed returns the error of a request that an instance did not accept. If the connection was not established,
// nothing was sent.
func (c *Client) failed(caller context.Context, to peers.Peer, connected bool, err error) error {
	if caller.Err() == nil {
		c.targets.avoid(to.Name)
		c.targets.recordReached(to.Name, connected)
	}
	if connected && !rejected(err) {
		return errors.WithMessagef(relay.ErrNoValidAnswer, "forward: %v", err)
	}
	return errors.WithMessagef(relay.ErrNotSent, "forward: %v", err)
}

// rejected reports whether an instance answered that it did not accept a request.
func rejected(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodePermissionDenied, connect.CodeInvalidArgument, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return connect.IsWireError(err)
	default:
		return false
	}
}

// listInstances asks an instance for others of its zone.
func (c *Client) listInstances(ctx context.Context, of peers.Peer, service uint32) ([]peers.Peer, error) {
	request := connect.NewRequest(&sfv1.ListInstancesRequest{From: peers.PeerToMessage(c.instances.Self()), Service: service})
	c.secret.sign(ctx, request.Header())
	response, err := c.service(of).ListInstances(ctx, request)
	if err != nil {
		return nil, errors.Wrap(err, "forward: list instances")
	}
	var list []peers.Peer
	for _, m := range response.Msg.GetInstances() {
		list = append(list, peers.PeerFromMessage(m))
	}
	return list, nil
}
