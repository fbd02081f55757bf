package control

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/freshness"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/platform"
)

// ErrNoMajority reports that too few of the listed instances answered. If a
// version was accepted then, the other instances could serve an older one for a
// long time.
var ErrNoMajority = errors.New("a version is accepted only while a majority of the listed instances answers")

// prepareAccept announces to the listed own instances that a version is about
// to be accepted, and returns nil once a majority has acknowledged it. The
// write must be made within the returned context, which ends
// spread.accept_within after the start of the call.
func (d *Daemon) prepareAccept(ctx context.Context, version int64) (context.Context, context.CancelFunc, error) {
	deadline := bootclock.Now() + d.settings.Spread.AcceptWithin
	d.members.refresh(ctx)
	members := d.members.own()
	answered := d.prepareAll(ctx, members, version)
	needed := freshness.Majority(len(members))
	if len(members) == 0 || answered < needed {
		d.log.Warn("spread: version not accepted, no majority answered", "version", version, "answered", answered, "listed", len(members))
		return ctx, func() {}, errors.WithMessagef(ErrNoMajority, "%d of %d listed answer, %d are needed", answered, len(members), needed)
	}
	limited, cancel := context.WithTimeout(ctx, deadline-bootclock.Now())
	return limited, cancel, nil
}

// prepareAll returns the number of instances that answered. It returns as soon
// as a majority has.
func (d *Daemon) prepareAll(ctx context.Context, members []platform.Instance, version int64) int {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Spread.PeerTimeout)
	defer cancel()
	answers := make(chan bool, len(members))
	for _, member := range members {
		go func() { answers <- d.prepareOne(ctx, member, version) }()
	}
	answered := 0
	for range members {
		if <-answers {
			answered++
		}
		if answered >= freshness.Majority(len(members)) {
			break
		}
	}
	return answered
}

func (d *Daemon) prepareOne(ctx context.Context, member platform.Instance, version int64) bool {
	if member.ID == d.settings.Instance {
		d.spread.prepare(version)
		return true
	}
	request := &sfv1.PrepareRequest{From: d.settings.Instance, Version: version}
	_, err := d.peer(member.Control).Prepare(ctx, connect.NewRequest(request))
	return err == nil
}
