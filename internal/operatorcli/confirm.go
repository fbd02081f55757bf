package operatorcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
)

// Outcomes in responses of sf-control.
const (
	outcomeAccepted = "accepted"
	outcomeUnknown  = "unknown"
)

// States of plans and steps in responses of sf-control.
const (
	stateDeclared  = "declared"
	stateDone      = "done"
	stateCancelled = "cancelled"
	stateRefused   = "refused"
	stepDone       = "done"
)

// After a lost response to a confirmation, the plan is read up to readBackAttempts
// times, with a pause of readBackInterval after each read.
const (
	readBackAttempts = 10
	readBackInterval = 300 * time.Millisecond
)

// confirmOrReadBack confirms the plan. If the response is lost or the outcome is
// unknown, it reads the outcome from the plan.
func (c *CLI) confirmOrReadBack(ctx context.Context, client sfv1connect.OperatorServiceClient) (*sfv1.ConfirmResponse, error) {
	response, err := client.Confirm(ctx, connect.NewRequest(&sfv1.ConfirmRequest{PlanId: c.planID, Operator: c.operator}))
	switch {
	case err == nil && response.Msg.Outcome != outcomeUnknown:
		return response.Msg, nil
	case err != nil && definiteError(err):
		return nil, err
	}
	return c.readBack(ctx, client), nil
}

// definiteError reports whether an error was returned by sf-control itself, which
// means that nothing was written.
func definiteError(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeNotFound || code == connect.CodeInvalidArgument || code == connect.CodeUnimplemented
}

// readBack polls the plan until its state is no longer declared, and returns the
// outcome. The outcome is unknown if that takes too many attempts.
func (c *CLI) readBack(ctx context.Context, client sfv1connect.OperatorServiceClient) *sfv1.ConfirmResponse {
	for range readBackAttempts {
		response, err := client.GetPlan(ctx, connect.NewRequest(&sfv1.GetPlanRequest{PlanId: c.planID}))
		if err == nil && response.Msg.Plan.State != stateDeclared {
			return c.outcomeFromPlan(response.Msg.Plan)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readBackInterval):
		}
	}
	return &sfv1.ConfirmResponse{
		Outcome: outcomeUnknown,
		Reason:  "no answer came, and the plan is not shown as accepted so far; confirm again, which is safe",
	}
}

func (c *CLI) outcomeFromPlan(p *sfv1.Plan) *sfv1.ConfirmResponse {
	if p.Version > 0 && p.ConfirmedBy == c.operator {
		return &sfv1.ConfirmResponse{Outcome: outcomeAccepted, Version: p.Version, Reason: "(the answer was lost, the plan's row tells)"}
	}
	reason := p.Reason
	if p.Version > 0 {
		reason = fmt.Sprintf("%s confirmed the plan before, as version %d", p.ConfirmedBy, p.Version)
	}
	return &sfv1.ConfirmResponse{Outcome: stateRefused, Version: p.Version, Reason: reason}
}
