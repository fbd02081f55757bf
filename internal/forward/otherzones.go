package forward

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/peers"
)

const (
	// listFor is how long a list of the instances of other zones is used. It is requested only while no
	// instance of the own zone can serve.
	listFor = 2 * time.Second
	// listTimeout bounds a request for such a list.
	listTimeout = 300 * time.Millisecond
	// maxListedZones bounds the zones that are asked.
	maxListedZones = 4
)

// otherZones keeps the instances of other zones that reach a service. Few instances of other zones are known
// otherwise, and they must not get all requests of a zone that is cut off.
type otherZones struct {
	request func(ctx context.Context, of peers.Peer, service uint32) ([]peers.Peer, error)
	clock   func() time.Duration

	mu    sync.Mutex // protects lists; held while a list is requested
	lists map[uint32]zoneList
}

// zoneList is a list of instances with the time at which it was requested.
type zoneList struct {
	instances []peers.Peer
	at        time.Duration
}

func newOtherZones(request func(context.Context, peers.Peer, uint32) ([]peers.Peer, error), clock func() time.Duration) *otherZones {
	return &otherZones{request: request, clock: clock, lists: map[uint32]zoneList{}}
}

// list returns the instances that reach a service. The known contacts of the zones are asked for them; those that
// do not answer are returned themselves.
func (o *otherZones) list(ctx context.Context, contacts map[string][]peers.Peer, service uint32) []peers.Peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.lists[service]; ok && o.clock()-known.at < listFor {
		return known.instances
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var mu sync.Mutex // protects instances
	var instances []peers.Peer
	var requests sync.WaitGroup
	asked := 0
	for _, zone := range contacts {
		if asked++; asked > maxListedZones {
			break
		}
		requests.Go(func() {
			list := o.requestZone(ctx, zone, service)
			mu.Lock()
			defer mu.Unlock()
			instances = append(instances, list...)
		})
	}
	requests.Wait()
	o.lists[service] = zoneList{instances: instances, at: o.clock()}
	return instances
}

// requestZone asks the contacts of a zone, one after the other.
func (o *otherZones) requestZone(ctx context.Context, contacts []peers.Peer, service uint32) []peers.Peer {
	for _, contact := range contacts {
		if list, err := o.request(ctx, contact, service); err == nil {
			return list
		}
	}
	return contacts
}
