package operatorcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/program"
)

// followInterval is the time between polls of a plan that is followed.
const followInterval = 200 * time.Millisecond

// followPlan waits until all steps are done and the version is in force on
// each instance.
func (c *CLI) followPlan(ctx context.Context, client sfv1connect.OperatorServiceClient) error {
	printed := map[int32]string{}
	for {
		state, version, err := c.printStepChanges(ctx, client, printed)
		if err != nil && ctx.Err() == nil && connect.CodeOf(err) == connect.CodeNotFound {
			return err
		}
		if err == nil && (state == stateCancelled || state == stateRefused) {
			fmt.Fprintf(c.Err, "sfctl: plan %s is %s\n", c.planID, state)
			return exitError(program.ExitRefused)
		}
		if err == nil && state == stateDone && c.inForceEverywhere(ctx, client, version) {
			fmt.Fprintf(c.Out, "plan %s is done; version %d is in force on all instances\n", c.planID, version)
			return nil
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(c.Err, "sfctl: the plan was not done in time; it goes on\n")
			return exitError(program.ExitUnknown)
		case <-time.After(followInterval):
		}
	}
}

// printStepChanges reads the plan and prints the steps whose state differs from the
// printed one. It returns the plan's state and version.
func (c *CLI) printStepChanges(ctx context.Context, client sfv1connect.OperatorServiceClient, printed map[int32]string) (state string, version int64, err error) {
	response, err := client.GetPlan(ctx, connect.NewRequest(&sfv1.GetPlanRequest{PlanId: c.planID}))
	if err != nil {
		return "", 0, errors.WithStack(err)
	}
	for _, step := range response.Msg.Plan.Steps {
		if printed[step.Number] != step.State {
			printed[step.Number] = step.State
			fmt.Fprintf(c.Out, "step %d %s: %s\n", step.Number, step.State, step.Text)
		}
	}
	return response.Msg.Plan.State, response.Msg.Plan.Version, nil
}

func (c *CLI) inForceEverywhere(ctx context.Context, client sfv1connect.OperatorServiceClient, version int64) bool {
	response, err := client.Instances(ctx, connect.NewRequest(&sfv1.InstancesRequest{}))
	if err != nil || len(response.Msg.Instances) == 0 {
		return false
	}
	for _, instance := range response.Msg.Instances {
		if instance.EntryVersion < version {
			return false
		}
	}
	return true
}
