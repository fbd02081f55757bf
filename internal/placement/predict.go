package placement

import "time"

// TimeToStart returns the predicted time until a generation with a placement has started.
func (c Costs) TimeToStart(p Prefill) time.Duration { return c.timeToStart(p) }
