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

// followEvery is the time between looks at a plan that is followed.
const followEvery = 200 * time.Millisecond

// followPlan waits until all steps are done and the version is in force on
// each instance.
func (c *CLI) followPlan(ctx context.Context, client sfv1connect.OperatorServiceClient) error {
	told := map[int32]string{}
	for {
		state, version, err := c.lookAtSteps(ctx, client, told)
		if err != nil && ctx.Err() == nil && connect.CodeOf(err) == connect.CodeNotFound {
			return err
		}
		if err == nil && (state == stateCancelled || state == stateRefused) {
			fmt.Fprintf(c.Err, "sfctl: plan %s is %s\n", c.planID, state)
			return errExit(program.ExitRefused)
		}
		if err == nil && state == stateDone && c.inForceEverywhere(ctx, client, version) {
			fmt.Fprintf(c.Out, "plan %s is done; version %d is in force on all instances\n", c.planID, version)
			return nil
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(c.Err, "sfctl: the plan was not done in time; it goes on\n")
			return errExit(program.ExitUnknown)
		case <-time.After(followEvery):
		}
	}
}

// lookAtSteps prints the steps whose state changed.
func (c *CLI) lookAtSteps(ctx context.Context, client sfv1connect.OperatorServiceClient, told map[int32]string) (state string, version int64, err error) {
	response, err := client.GetPlan(ctx, connect.NewRequest(&sfv1.GetPlanRequest{PlanId: c.planID}))
	if err != nil {
		return "", 0, errors.WithStack(err)
	}
	for _, step := range response.Msg.Plan.Steps {
		if told[step.Number] != step.State {
			told[step.Number] = step.State
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
