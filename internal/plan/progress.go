package plan

import (
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rollout"
)

// StepState of a step of a confirmed plan, by the newest configuration.
type StepState string

// States of a step.
const (
	StepWaiting   StepState = "waiting"
	StepRunning   StepState = "running"
	StepDone      StepState = "done"
	StepCancelled StepState = "cancelled"
)

// Progress of a plan as an operator reads it.
type Progress struct {
	// State is that of the row, but running or done for a confirmed plan.
	State string
	// Steps has the state of each step.
	Steps []StepState
}

// States that Progress adds to those of the row.
const (
	ProgressRunning = "running"
	ProgressDone    = "done"
)

// ProgressIn tells how far the plan is in a configuration.
func (p *Plan) ProgressIn(now *config.Config) Progress {
	progress := Progress{State: string(p.State)}
	done := true
	for _, step := range p.Steps {
		state := p.stepState(step, now)
		done = done && state == StepDone
		progress.Steps = append(progress.Steps, state)
	}
	if p.State == StateConfirmed {
		progress.State = ProgressRunning
		if done {
			progress.State = ProgressDone
		}
	}
	return progress
}

func (p *Plan) stepState(step Step, now *config.Config) StepState {
	if step.Cancelled {
		return StepCancelled
	}
	if p.Version == 0 || now.Version < p.Version {
		if p.State == StateCancelled || p.State == StateRefused {
			return StepCancelled
		}
		return StepWaiting
	}
	e := now.Engine(step.Engine)
	switch {
	case step.Kind == KindConfigure || e == nil:
		return StepDone
	case p.State == StateConfirmed && e.Plan != p.ID, rollout.Converged(e):
		return StepDone
	case e.Routing == config.RoutingServing:
		return StepWaiting
	default:
		return StepRunning
	}
}

// Cancel changes a document so that what the plan has not started stays as it
// is, and marks those steps. What was started is finished. It tells whether
// anything was left to cancel or to finish.
func (p *Plan) Cancel(doc *config.Config) bool {
	left := false
	for i := range p.Steps {
		step := &p.Steps[i]
		e := doc.Engine(step.Engine)
		if e == nil || e.Plan != p.ID {
			continue
		}
		left = true
		e.Plan = ""
		step.Cancelled = keepAsIs(e)
	}
	p.State = StateCancelled
	return left
}

// keepAsIs makes an engine want what it has, unless its change has started.
func keepAsIs(e *config.Engine) bool {
	switch e.Routing {
	case config.RoutingServing:
		e.Leave, e.Want = false, e.Loaded
	case config.RoutingOut:
		e.Leave = true
	default:
		return false
	}
	return true
}
