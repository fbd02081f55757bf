package testfleet

import (
	"fmt"
	"io"
	"strings"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Direction of the bytes on a proxied connection.
type Direction string

// Directions.
const (
	// ToUpstream are the bytes of requests.
	ToUpstream Direction = "upstream"
	// FromUpstream are the bytes of answers.
	FromUpstream Direction = "downstream"
)

// Proxy is a fault-injecting proxy in this process, before one address.
type Proxy struct {
	Address string
	proxy   *toxiproxy.Proxy
}

// Proxy starts a fault-injecting proxy before an address.
func (f *Fleet) Proxy(name, upstream string) (*Proxy, error) {
	logrus.SetOutput(io.Discard) // the library's own log
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, f.Address(), upstream
	if err := p.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies = append(f.proxies, p)
	return &Proxy{Address: p.Listen, proxy: p}, nil
}

// Cut swallows all bytes in one direction until Heal; connections stay open.
func (p *Proxy) Cut(direction Direction) error {
	return p.add("cut", "timeout", direction, `"timeout": 0`)
}

// Slow delays all bytes in one direction until Heal.
func (p *Proxy) Slow(direction Direction, milliseconds int) error {
	return p.add("slow", "latency", direction, fmt.Sprintf(`"latency": %d`, milliseconds))
}

func (p *Proxy) add(name, kind string, direction Direction, attributes string) error {
	toxic := fmt.Sprintf(`{"name": "%s-%s", "type": %q, "stream": %q, "attributes": {%s}}`,
		name, direction, kind, direction, attributes)
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "proxy")
}

// Heal ends all faults. Connections that were cut break.
func (p *Proxy) Heal() {
	p.proxy.Toxics.ResetToxics()
}

// Close breaks all connections and takes no new ones until Open.
func (p *Proxy) Close() {
	p.proxy.Stop()
}

// Open takes connections again after Close.
func (p *Proxy) Open() error {
	return errors.Wrap(p.proxy.Start(), "proxy")
}
