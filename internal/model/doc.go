// Package model is a deterministic model of a service's engines in virtual time. It
// runs the project's own decisions (packages upstreamstate, placement, roles, estimate) for
// some instances against a named load pattern, some twenty times faster than it
// would take, so that policies can be compared and a pattern that went wrong stays
// as a test.
//
// What it has: engines that process prompts one after another by priority, in memory
// where the parts used longest ago yield; engines that generate in batches, with
// prompts between the tokens; transfers; changes of roles, which wait for the answers
// under way; reports between instances that lag; engines that are lost and return;
// callers that leave. What it leaves out: the network, retries, the store, preemption.
//
// Time goes in steps of one tick. Randomness comes from the seed alone.
package model

import "time"

// tick is the step of the model's time: a fifth of the shortest prompt.
const tick = 2 * time.Millisecond
