package plan

import (
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rollout"
)

// StepState is the state of a step according to the newest configuration.
type StepState string

// States of a step.
const (
	StepWaiting   StepState = "waiting"
	StepRunning   StepState = "running"
	StepDone      StepState = "done"
	StepCancelled StepState = "cancelled"
)

// Progress is the progress of a plan as shown to operators.
type Progress struct {
	// State is the state of the plan. A confirmed plan is running or done instead.
	State string
	// Steps are the states of the steps.
	Steps []StepState
}

// States of a confirmed plan in Progress.
const (
	ProgressRunning = "running"
	ProgressDone    = "done"
)

// ProgressIn returns the progress of the plan in a configuration.
func (p *Plan) ProgressIn(current *config.Config) Progress {
	progress := Progress{State: string(p.State)}
	done := true
	for _, step := range p.Steps {
		state := p.stepState(step, current)
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

func (p *Plan) stepState(step Step, current *config.Config) StepState {
	if step.Cancelled {
		return StepCancelled
	}
	if p.Version == 0 || current.Version < p.Version {
		if p.State == StateCancelled || p.State == StateRefused {
			return StepCancelled
		}
		return StepWaiting
	}
	e := current.Engine(step.Engine)
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

// Cancel cancels the plan in a document. Engines whose steps have not started keep their current state, and
// these steps are marked as cancelled. Steps that have started will be completed. Cancel reports whether
// any step was left to cancel or to complete.
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
		step.Cancelled = keepCurrentState(e)
	}
	p.State = StateCancelled
	return left
}

// keepCurrentState sets the wanted state of an engine to its current one. It returns false if the engine's
// change has started.
func keepCurrentState(e *config.Engine) bool {
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
