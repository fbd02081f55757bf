package operatorcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
)

// Outcomes as sf-control tells them.
const (
	outcomeAccepted = "accepted"
	outcomeUnknown  = "unknown"
)

// States as sf-control tells them.
const (
	stateDeclared  = "declared"
	stateDone      = "done"
	stateCancelled = "cancelled"
	stateRefused   = "refused"
	stepDone       = "done"
)

// A confirmation whose answer was lost is read back so many times.
const (
	readBackAttempts = 10
	readBackPause    = 300 * time.Millisecond
)

// confirmOrReadBack confirms the plan. When the answer is lost, the plan's row
// tells what came of it.
func (c *CLI) confirmOrReadBack(ctx context.Context, client sfv1connect.OperatorServiceClient) (*sfv1.ConfirmResponse, error) {
	response, err := client.Confirm(ctx, connect.NewRequest(&sfv1.ConfirmRequest{PlanId: c.planID, Operator: c.operator}))
	switch {
	case err == nil && response.Msg.Outcome != outcomeUnknown:
		return response.Msg, nil
	case err != nil && answered(err):
		return nil, err
	}
	return c.readBack(ctx, client), nil
}

// answered tells whether an error came from sf-control itself, with nothing
// written.
func answered(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeNotFound || code == connect.CodeInvalidArgument || code == connect.CodeUnimplemented
}

// readBack looks at the plan until it is no longer just declared.
func (c *CLI) readBack(ctx context.Context, client sfv1connect.OperatorServiceClient) *sfv1.ConfirmResponse {
	for range readBackAttempts {
		response, err := client.GetPlan(ctx, connect.NewRequest(&sfv1.GetPlanRequest{PlanId: c.planID}))
		if err == nil && response.Msg.Plan.State != stateDeclared {
			return c.verdictOf(response.Msg.Plan)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readBackPause):
		}
	}
	return &sfv1.ConfirmResponse{
		Outcome: outcomeUnknown,
		Reason:  "no answer came, and the plan is not shown as accepted so far; confirm again, which is safe",
	}
}

func (c *CLI) verdictOf(p *sfv1.Plan) *sfv1.ConfirmResponse {
	if p.Version > 0 && p.ConfirmedBy == c.operator {
		return &sfv1.ConfirmResponse{Outcome: outcomeAccepted, Version: p.Version, Reason: "(the answer was lost, the plan's row tells)"}
	}
	reason := p.Reason
	if p.Version > 0 {
		reason = fmt.Sprintf("%s confirmed the plan before, as version %d", p.ConfirmedBy, p.Version)
	}
	return &sfv1.ConfirmResponse{Outcome: stateRefused, Version: p.Version, Reason: reason}
}
