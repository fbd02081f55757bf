// Package stages places a generation on the engines of a service that is split
// into prefill and decode: which engine processes the prompt, which one
// generates, and whether one engine does both. It also says how many engines
// each role should have. It is pure.
//
// All instances place the same shared prompt part on the same engine without
// asking one another: engines are ranked by a hash of the part and the
// engine's id (rendezvous hashing), so an engine that comes or goes moves only
// the parts that rank it first.
package stages

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt, in the order of the prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what placement knows of a request's prompt.
type Prompt struct {
	Parts []Part
	// Tokens of the whole prompt.
	Tokens int
	// Output bounds the tokens to generate.
	Output int
}

// SharedKey names the prompt's parts up to the last one that other requests
// share. The last part is the request's own, unless it is the only one.
func (p Prompt) SharedKey() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(0, len(p.Parts)-2)].ID
}

// SharedTokens counts the tokens of the parts that other requests share.
func (p Prompt) SharedTokens() int {
	total := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		total += p.Parts[i].Tokens
	}
	return min(total, p.Tokens)
}

// ranked is an engine with its weight for a key.
type ranked struct {
	engine Engine
	weight uint64
}

// Rank orders engines for a key, the first choice first.
func Rank(key string, engines []Engine) []Engine {
	all := make([]ranked, len(engines))
	for i, e := range engines {
		all[i] = ranked{engine: e, weight: weight(key, e.ID)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return 0
		}
	})
	ordered := make([]Engine, len(all))
	for i := range all {
		ordered[i] = all[i].engine
	}
	return ordered
}

func weight(key, id string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key) // a hash never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(id)
	return hash.Sum64()
}
