// Package model simulates the engines of a service deterministically and in virtual time. It runs the
// project's own decision code (packages upstreamstate, placement, roles, estimate) for several instances
// against a load pattern. It takes a Pattern, a Policy and a seed, and returns a Result. It runs about twenty
// times faster than real time, so that policies can be compared, and a pattern that went wrong can be kept as
// a test.
//
// The model covers: engines that process prompts one at a time in queue order, with an LRU cache of prompt
// parts; engines that generate in batches and process chunks of prompts between the steps; KV cache
// transfers; role changes, which wait until the running requests have finished; reports between instances,
// which arrive late or get lost; engines that crash and return; callers that give up. It leaves out the
// network, retries after failures, the store, and preemption.
//
// Time advances in steps of one tick. The seed is the only source of randomness.
package model

import "time"

// tick is the time step of the model: a fifth of the time of the shortest prompt.
const tick = 2 * time.Millisecond
