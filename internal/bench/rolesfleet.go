package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/loadgen"
	"sassafrasfield/internal/testfleet"
)

// policySettings are the settings of the role policy. The load swings several times faster than that of the
// users, so the dwell and the horizon are shorter by a similar factor.
const policySettings = `
[roles]
every = "1s"
horizon = "20s"
dwell = "4s"
stale_after = "10s"
samples = 4
confirm = 2
out_of_service = "3s"
`

// roleChangeTime is the time that a stand-in engine takes to change its role.
const roleChangeTime = "3s"

// historyLimit is the maximum number of versions that are searched for role changes.
const historyLimit = 2000

// rolesFleet is a complete running system, including sf-control.
type rolesFleet struct {
	*testfleet.Fleet
	operator sfv1connect.OperatorServiceClient
	engines  []string // addresses
}

// startRoles starts a system and puts its roles in force.
func startRoles(ctx context.Context, o RoleOptions, v RoleVariant, seed uint64, scenario loadgen.Scenario) (*rolesFleet, error) {
	dir := filepath.Join(o.Dir, directoryName(fmt.Sprintf("%s %s %d", o.Deployment.Name, v.Name, seed)))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	f := &rolesFleet{Fleet: testfleet.New(o.Bin, dir)}
	if err := f.startAll(ctx, o, scenario); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.confirm(ctx, f.intent(o, v, scenario)); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *rolesFleet) startAll(ctx context.Context, o RoleOptions, scenario loadgen.Scenario) error {
	if err := f.StartPlatform(ctx); err != nil {
		return err
	}
	args := []string{"--listen", "", "engines", "--model", scenario.Model, "--model-version", "1", "--change-time", roleChangeTime}
	for i := range o.Engines {
		f.engines = append(f.engines, f.Address())
		args = append(args, "--id", fmt.Sprintf("engine-%d", i+1))
	}
	args[1] = f.engines[0]
	if _, err := f.Start("engines", "sf-standin", append(args, EngineModel...)...); err != nil {
		return err
	}
	f.ControlTables = policySettings
	f.EntryExtra = "demand_window = \"4s\"\n"
	for i := range o.Instances {
		zone := o.Deployment.Zones[i%len(o.Deployment.Zones)]
		if _, err := f.AddInstance(ctx, fmt.Sprintf("inst-%d", i+1), zone); err != nil {
			return err
		}
	}
	f.operator = sfv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+f.Instances[0].ControlAddress)
	return testfleet.Until(ctx, "sf-control answers", func() bool {
		_, err := f.operator.SystemStatus(ctx, connect.NewRequest(&sfv1.SystemStatusRequest{}))
		return err == nil
	})
}

// intent returns an intent that declares the pool with its roles and bounds.
func (f *rolesFleet) intent(o RoleOptions, v RoleVariant, scenario loadgen.Scenario) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"roles\"\n[[model]]\nname = %q\nversion = \"1\"\n", scenario.Model)
	fmt.Fprintf(&b, "[[pool]]\nname = \"main\"\nmodel = %q\nmin_serving = %d\n", scenario.Model, o.Engines/2)
	if v.Policy {
		fmt.Fprintf(&b, "min_prefill = 2\nmax_prefill = %d\nmin_decode = 2\nrole_change_weight = %g\n", o.Engines-2, v.Weight)
	}
	for i, address := range f.engines {
		role := "mixed"
		switch {
		case i < v.Prefill:
			role = "prefill"
		case i < v.Prefill+v.Decode:
			role = "decode"
		}
		fmt.Fprintf(&b, "[[engine]]\nid = \"engine-%d\"\naddress = %q\nzone = %q\npool = \"main\"\nfencing = \"refuse\"\nrole = %q\n",
			i+1, address, o.Deployment.Zones[i%len(o.Deployment.Zones)], role)
	}
	for i, key := range scenario.Keys {
		sum := sha256.Sum256([]byte(key))
		fmt.Fprintf(&b, "[[organisation]]\nname = \"organisation-%d\"\nkey_hashes = [%q]\n", i+1, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

// confirm puts an intent in force and waits until its plan is done on all instances.
func (f *rolesFleet) confirm(ctx context.Context, text string) error {
	declared, err := f.operator.Declare(ctx, connect.NewRequest(&sfv1.DeclareRequest{File: "roles.toml", Intent: []byte(text), Operator: "bench"}))
	if err != nil {
		return errors.WithStack(err)
	}
	if declared.Msg.PlanId == "" {
		return errors.Errorf("bench: the intent was refused: %v", declared.Msg.Findings)
	}
	if _, err := f.operator.Confirm(ctx, connect.NewRequest(&sfv1.ConfirmRequest{PlanId: declared.Msg.PlanId, Operator: "bench"})); err != nil {
		return errors.WithStack(err)
	}
	return testfleet.Until(ctx, "the roles are in force", func() bool { return f.inForce(ctx, declared.Msg.PlanId) })
}

func (f *rolesFleet) inForce(ctx context.Context, planID string) bool {
	plan, err := f.operator.GetPlan(ctx, connect.NewRequest(&sfv1.GetPlanRequest{PlanId: planID}))
	if err != nil || plan.Msg.Plan.State != "done" {
		return false
	}
	instances, err := f.operator.Instances(ctx, connect.NewRequest(&sfv1.InstancesRequest{}))
	if err != nil || len(instances.Msg.Instances) != len(f.Instances) {
		return false
	}
	for _, row := range instances.Msg.Instances {
		if row.EntryVersion != instances.Msg.HeadVersion || !row.Ready {
			return false
		}
	}
	return true
}

func (f *rolesFleet) targets() []string {
	var targets []string
	for _, i := range f.Instances {
		targets = append(targets, i.EntryAddress)
	}
	return targets
}

// changes returns the summaries of the role policy's changes in the history, oldest first.
func (f *rolesFleet) changes(ctx context.Context) ([]string, error) {
	history, err := f.operator.History(ctx, connect.NewRequest(&sfv1.HistoryRequest{Limit: historyLimit}))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	changes := []string{}
	for _, v := range history.Msg.Versions {
		if strings.HasPrefix(v.Author, "role policy") {
			changes = append([]string{v.Summary}, changes...)
		}
	}
	return changes, nil
}
