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

// ErrNoMajority: too few of the listed instances answered, so that others may
// serve an older version for long if one was accepted now.
var ErrNoMajority = errors.New("a version is accepted only while a majority of the listed instances answers")

// mayAccept prepares the acceptance of a version: it returns nil once a
// majority of the listed own instances knows that the version is about to be
// accepted. The write has to follow within the returned context, which ends
// after spread.accept_within.
func (d *Daemon) prepareAccept(ctx context.Context, version int64) (context.Context, context.CancelFunc, error) {
	deadline := bootclock.Now() + d.settings.Spread.AcceptWithin
	d.members.refresh(ctx)
	members := d.members.own()
	answered := d.prepareAll(ctx, members, version)
	needed := freshness.Majority(len(members))
	if len(members) == 0 || answered < needed {
		d.log.Warn("spread: not accepted, no majority", "version", version, "answered", answered, "listed", len(members))
		return ctx, func() {}, errors.WithMessagef(ErrNoMajority, "%d of %d listed answer, %d are needed", answered, len(members), needed)
	}
	limited, cancel := context.WithTimeout(ctx, deadline-bootclock.Now())
	return limited, cancel, nil
}

// prepareAll returns how many instances answered, at most a majority.
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
