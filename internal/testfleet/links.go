package testfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"

	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
)

// Links puts proxies between each instance and the platform and between each pair of instances, so
// that an instance can be cut off from the platform, from its peers or from both. Instance i reaches
// the platform through a fault-injecting proxy, followed by an HTTP server that rewrites the
// addresses in the instance list so that i reaches peer j through the proxy of the pair (i, j).
type Links struct {
	fleet *Fleet

	mu              sync.Mutex // protects all below
	rewriters       []*httptest.Server
	platformProxies map[string]*Proxy
	peerProxies     map[[2]string]*Proxy
}

// NewLinks returns links for a fleet whose platform is running. Start the instances with
// Links.AddInstance.
func NewLinks(f *Fleet) *Links {
	return &Links{fleet: f, platformProxies: map[string]*Proxy{}, peerProxies: map[[2]string]*Proxy{}}
}

// Close stops the rewriting servers. Fleet.Stop stops the proxies.
func (l *Links) Close() {
	l.mu.Lock()
	servers := l.rewriters
	l.mu.Unlock() // a server that is still answering may need the lock
	for _, server := range servers {
		server.CloseClientConnections()
		server.Close()
	}
}

// AddInstance starts an instance that uses its own links.
func (l *Links) AddInstance(ctx context.Context, id, zone string) (*Instance, error) {
	if err := l.openPlatformLink(id); err != nil {
		return nil, err
	}
	return l.fleet.AddInstance(ctx, id, zone)
}

// openPlatformLink creates the link between an instance and the platform, and sets it as the
// platform's address for the next instance of the fleet.
func (l *Links) openPlatformLink(id string) error {
	target := &url.URL{Scheme: "http", Host: l.fleet.platformDirect}
	server := httptest.NewUnstartedServer(newRewritingProxy(target, func(res *http.Response) error { return l.rewrite(id, res) }))
	listener, err := net.Listen("tcp", l.fleet.Address())
	if err != nil {
		return errors.WithStack(err)
	}
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	proxy, err := l.fleet.Proxy(id+"-platform", listener.Addr().String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rewriters = append(l.rewriters, server)
	l.platformProxies[id] = proxy
	l.fleet.PlatformAddress = proxy.Address
	return nil
}

// rewritingProxy forwards requests to a target and changes the responses with rewrite.
type rewritingProxy struct {
	target  *url.URL
	rewrite func(*http.Response) error
	// transport is not shared: net/http may break a request on a connection on which another one was
	// cancelled, and the daemons' requests often are.
	transport *http.Transport
}

func newRewritingProxy(target *url.URL, rewrite func(*http.Response) error) rewritingProxy {
	return rewritingProxy{target: target, rewrite: rewrite, transport: &http.Transport{}}
}

// ServeHTTP implements http.Handler. If the exchange with the target fails, it aborts the
// connection to the client.
func (f rewritingProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = f.target.Scheme, f.target.Host, ""
	res, err := f.transport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	if err := f.rewrite(res); err != nil {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(w, res.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// rewrite replaces the peers' addresses in an instance list by those of the links of instance id.
// Other responses are left unchanged.
func (l *Links) rewrite(id string, res *http.Response) error {
	if res.Request.URL.Path != platform.PathInstances || res.StatusCode != http.StatusOK {
		return nil
	}
	var list platform.InstancesReply
	if err := json.NewDecoder(res.Body).Decode(&list); err != nil {
		return errors.WithStack(err)
	}
	for i := range list.Instances {
		entry := &list.Instances[i]
		if entry.Kind != platform.KindOwn || entry.ID == id {
			continue
		}
		proxy, err := l.peerProxy(id, entry.ID, entry.Control)
		if err != nil {
			return err
		}
		entry.Control = proxy.Address
	}
	data, err := json.Marshal(list)
	if err != nil {
		return errors.WithStack(err)
	}
	res.Body = io.NopCloser(bytes.NewReader(data))
	res.ContentLength = int64(len(data))
	res.Header.Set("Content-Length", fmt.Sprint(len(data)))
	return nil
}

// peerProxy returns the proxy of a pair and creates it at the first call.
func (l *Links) peerProxy(from, to, address string) (*Proxy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := [2]string{from, to}
	if proxy, ok := l.peerProxies[pair]; ok {
		return proxy, nil
	}
	proxy, err := l.fleet.Proxy(from+"-"+to, address)
	if err == nil {
		l.peerProxies[pair] = proxy
	}
	return proxy, err
}

// CutPlatform discards all requests of an instance to the platform, including those for the
// instance list.
func (l *Links) CutPlatform(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.platformProxies[id].Cut(ToUpstream)
}

// CutPeers discards the requests between an instance and its peers with direction ToUpstream, or
// the responses with FromUpstream.
func (l *Links) CutPeers(id string, direction Direction) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair, proxy := range l.peerProxies {
		if pair[0] != id && pair[1] != id {
			continue
		}
		if err := proxy.Cut(direction); err != nil {
			return err
		}
	}
	return nil
}

// CutOutgoing discards the requests that an instance sends to its peers. Requests of the peers
// still arrive and are answered.
func (l *Links) CutOutgoing(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair, proxy := range l.peerProxies {
		if pair[0] != id {
			continue
		}
		if err := proxy.Cut(ToUpstream); err != nil {
			return err
		}
	}
	return nil
}

// Heal removes all cuts.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, proxy := range l.platformProxies {
		proxy.Heal()
	}
	for _, proxy := range l.peerProxies {
		proxy.Heal()
	}
}

// PeerLinkCount returns the number of ordered pairs of instances that have a link.
func (l *Links) PeerLinkCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peerProxies)
}
