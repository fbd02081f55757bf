package rolekeeper

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/roles"
)

// targetKey is the key of the row with a service's wanted split. It is there once
// the split has moved away from the one of the settings, so that the next holder
// goes on with it.
func targetKey(service string) string { return "split/" + service }

// dutyOf returns what is known of a service's engines; false while it cannot be
// read.
func (k *Keeper) dutyOf(ctx context.Context, service string) (*duty, bool) {
	if d, ok := k.services[service]; ok {
		return d, true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target, err := k.readTarget(ctx, service)
	if err != nil {
		k.log.Info("roles: the wanted split could not be read, asked again at the next look", "service", service, "error", err)
		return nil, false
	}
	d := &duty{target: target, kept: target}
	k.services[service] = d
	return d, true
}

func (k *Keeper) readTarget(ctx context.Context, service string) (roles.Target, error) {
	target := k.settings.InitialTarget
	row, err := k.table.Get(ctx, targetKey(service))
	if errors.Is(err, platform.ErrNotFound) {
		return target, nil
	}
	if err != nil {
		return target, err
	}
	return target, errors.Wrap(json.Unmarshal(row.Value, &target), "roles: decode the wanted split")
}

// keep writes a target that has moved. It counts for this holder all the same
// while the store does not take it; a later look tries again. Only the holder of
// the lease's newest epoch may write.
func (k *Keeper) keep(ctx context.Context, service string, d *duty, grant lease.Grant) {
	if d.target == d.kept {
		return
	}
	value, err := json.Marshal(d.target)
	if err != nil {
		k.log.Error("roles: the wanted split cannot be encoded", "service", service, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = k.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: leaserows.EpochKey(LeaseName), Revision: grant.EpochRevision}},
		Writes: []platform.Write{{Key: targetKey(service), Value: value}},
	})
	if err != nil {
		k.log.Info("roles: the wanted split was not kept, tried again at the next look", "service", service, "error", err)
		return
	}
	d.kept = d.target
}
