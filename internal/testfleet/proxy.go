package testfleet

import (
	"io"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Direction is the direction of the bytes on a proxied connection.
type Direction string

// Directions.
const (
	// ToUpstream is the direction of requests.
	ToUpstream Direction = "upstream"
	// FromUpstream is the direction of responses.
	FromUpstream Direction = "downstream"
)

// Proxy is a fault-injecting TCP proxy in this process for one address.
type Proxy struct {
	Address string
	proxy   *toxiproxy.Proxy
	faults  map[Direction]*linkFault
}

// Proxy starts a fault-injecting proxy for an address.
func (f *Fleet) Proxy(name, upstream string) (*Proxy, error) {
	logrus.SetOutput(io.Discard) // suppresses the log of the toxiproxy library
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, f.Address(), upstream
	faults := map[Direction]*linkFault{}
	for _, direction := range []Direction{ToUpstream, FromUpstream} {
		fault, err := addLinkFault(p, direction)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		faults[direction] = fault
	}
	if err := p.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies = append(f.proxies, p)
	return &Proxy{Address: p.Listen, proxy: p, faults: faults}, nil
}

// Cut discards all bytes in one direction until Heal. Connections stay open.
func (p *Proxy) Cut(direction Direction) error {
	p.faults[direction].setCut()
	return nil
}

// Slow delays all bytes in one direction until Heal.
func (p *Proxy) Slow(direction Direction, milliseconds int) error {
	p.faults[direction].setDelay(time.Duration(milliseconds) * time.Millisecond)
	return nil
}

// Heal removes all faults. It closes connections that were cut.
func (p *Proxy) Heal() {
	for _, fault := range p.faults {
		fault.heal()
	}
}

// Close closes all connections and refuses new ones until Open.
func (p *Proxy) Close() {
	p.proxy.Stop()
}

// Open accepts connections again after Close.
func (p *Proxy) Open() error {
	return errors.Wrap(p.proxy.Start(), "proxy")
}
