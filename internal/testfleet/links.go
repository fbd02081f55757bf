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

// Links gives each instance its own view of the platform and of its peers, so
// that it can be cut off from the one, the other or both. Instance i reaches
// the platform through a proxy, and a front behind it that rewrites the
// instance list: i reaches peer j through a proxy of the pair (i, j).
type Links struct {
	fleet *Fleet

	mu     sync.Mutex // protects all below
	fronts []*httptest.Server
	tables map[string]*Proxy
	peers  map[[2]string]*Proxy
}

// NewLinks returns links for a fleet whose platform runs. Start the instances
// with its AddInstance.
func NewLinks(f *Fleet) *Links {
	return &Links{fleet: f, tables: map[string]*Proxy{}, peers: map[[2]string]*Proxy{}}
}

// Close ends the fronts. The fleet's Stop ends the proxies.
func (l *Links) Close() {
	l.mu.Lock()
	fronts := l.fronts
	l.mu.Unlock() // a front that answers still may take it
	for _, front := range fronts {
		front.CloseClientConnections()
		front.Close()
	}
}

// AddInstance starts an instance behind links of its own.
func (l *Links) AddInstance(ctx context.Context, id, zone string) (*Instance, error) {
	if err := l.open(id); err != nil {
		return nil, err
	}
	return l.fleet.AddInstance(ctx, id, zone)
}

// open makes the way of an instance to the platform, and has the fleet give it
// to the next instance.
func (l *Links) open(id string) error {
	target := &url.URL{Scheme: "http", Host: l.fleet.platformDirect}
	front := httptest.NewUnstartedServer(forwarder{
		target: target, rewrite: func(res *http.Response) error { return l.rewrite(id, res) },
	})
	listener, err := net.Listen("tcp", l.fleet.Address())
	if err != nil {
		return errors.WithStack(err)
	}
	front.Listener.Close()
	front.Listener = listener
	front.Start()
	proxy, err := l.fleet.Proxy(id+"-platform", listener.Addr().String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fronts = append(l.fronts, front)
	l.tables[id] = proxy
	l.fleet.PlatformAddress = proxy.Address
	return nil
}

// forwarder passes requests on to a target, and its answers back after a change.
type forwarder struct {
	target  *url.URL
	rewrite func(*http.Response) error
}

// ServeHTTP implements http.Handler. Where the target breaks off, so does it.
func (f forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = f.target.Scheme, f.target.Host, ""
	res, err := http.DefaultTransport.RoundTrip(out)
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

// rewrite puts the addresses of an instance's own links into the list.
func (l *Links) rewrite(id string, res *http.Response) error {
	if res.Request.URL.Path != platform.PathInstances || res.StatusCode != http.StatusOK {
		return nil
	}
	var list platform.InstancesReply
	if err := json.NewDecoder(res.Body).Decode(&list); err != nil {
		return errors.WithStack(err)
	}
	for i := range list.Instances {
		line := &list.Instances[i]
		if line.Kind != platform.KindOwn || line.ID == id {
			continue
		}
		proxy, err := l.link(id, line.ID, line.Control)
		if err != nil {
			return err
		}
		line.Control = proxy.Address
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

// link returns the proxy of a pair, made at the first call.
func (l *Links) link(from, to, address string) (*Proxy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := [2]string{from, to}
	if proxy, ok := l.peers[pair]; ok {
		return proxy, nil
	}
	proxy, err := l.fleet.Proxy(from+"-"+to, address)
	if err == nil {
		l.peers[pair] = proxy
	}
	return proxy, err
}

// CutPlatform swallows what an instance sends to the platform, the instance
// list included.
func (l *Links) CutPlatform(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tables[id].Cut(ToUpstream)
}

// CutPeers swallows the requests between an instance and its peers, or, in the
// other direction, the answers.
func (l *Links) CutPeers(id string, direction Direction) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair, proxy := range l.peers {
		if pair[0] != id && pair[1] != id {
			continue
		}
		if err := proxy.Cut(direction); err != nil {
			return err
		}
	}
	return nil
}

// CutOutgoing swallows the requests that an instance sends to its peers; theirs
// still arrive and are answered.
func (l *Links) CutOutgoing(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair, proxy := range l.peers {
		if pair[0] != id {
			continue
		}
		if err := proxy.Cut(ToUpstream); err != nil {
			return err
		}
	}
	return nil
}

// Heal ends all cuts.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, proxy := range l.tables {
		proxy.Heal()
	}
	for _, proxy := range l.peers {
		proxy.Heal()
	}
}

// PeerLinkCount is the number of pairs that have a link.
func (l *Links) PeerLinkCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers)
}
