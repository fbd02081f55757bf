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

// targetKey returns the key of the row with the target split of a service. The row exists once the target has
// moved away from Settings.InitialTarget, so that the next holder continues with it.
func targetKey(service string) string { return "split/" + service }

// serviceState returns the state of a service, or false if its target could not be read.
func (k *Keeper) serviceState(ctx context.Context, service string) (*serviceState, bool) {
	if s, ok := k.services[service]; ok {
		return s, true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target, err := k.readTarget(ctx, service)
	if err != nil {
		k.log.Info("roles: could not read the target split; retrying at the next check", "service", service, "error", err)
		return nil, false
	}
	s := &serviceState{target: target, stored: target}
	k.services[service] = s
	return s, true
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
	return target, errors.Wrap(json.Unmarshal(row.Value, &target), "roles: decode the target split")
}

// storeTarget writes a target that has moved. If the write fails, this holder uses the target nevertheless,
// and a later check retries. The write requires that this holder has the newest epoch of the lease.
func (k *Keeper) storeTarget(ctx context.Context, service string, s *serviceState, grant lease.Grant) {
	if s.target == s.stored {
		return
	}
	value, err := json.Marshal(s.target)
	if err != nil {
		k.log.Error("roles: could not encode the target split", "service", service, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = k.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: leaserows.EpochKey(LeaseName), Revision: grant.EpochRevision}},
		Writes: []platform.Write{{Key: targetKey(service), Value: value}},
	})
	if err != nil {
		k.log.Info("roles: could not store the target split; retrying at the next check", "service", service, "error", err)
		return
	}
	s.stored = s.target
}
