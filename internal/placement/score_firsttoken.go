package placement

import (
	"time"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
)

// LoadView chooses what of a candidate's picture is looked at.
type LoadView func(req *Request, c Candidate) load.View

// defaultPrefillRate, in prompt tokens a second, is taken for an engine that
// has reported none.
const defaultPrefillRate = 4000

// firstTokenScale is the predicted time that halves the score.
const firstTokenScale = 500 * time.Millisecond

// FirstTokenScorer prefers engines that will send the first token sooner. The
// score is 1 for no wait and falls towards 0; it is a half at half a second.
// Reason: the deadline of the first token is what a swing to long prompts
// breaks first.
type FirstTokenScorer struct {
	View LoadView
	// PrefixHints subtracts the part of the prompt that is believed cached.
	PrefixHints bool
}

// Score implements Scorer.
func (s FirstTokenScorer) Score(req *Request, c Candidate) float64 {
	wait := PredictFirstToken(req, c, s.View, s.PrefixHints)
	return 1 / (1 + wait.Seconds()/firstTokenScale.Seconds())
}

// PredictFirstToken is the time to the first token of a request on an engine:
// the prompt tokens ahead and its own, less the cached prefix, over the
// measured prefill rate, and the wait for a place in the batch.
func PredictFirstToken(req *Request, c Candidate, view LoadView, hints bool) time.Duration {
	rate := c.Load.Report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	seen := view(req, c)
	tokens := seen.PrefillTokens + req.Prompt.Tokens
	if hints {
		tokens -= CachedTokens(req, c)
	}
	wait := float64(tokens) / rate
	if decode := c.Load.Report.DecodeRate; decode > 0 {
		wait += float64(seen.Waiting) * answerTokens / decode
	}
	return time.Duration(wait * float64(time.Second))
}

// answerTokens is the length of an answer that the wait for a place in the
// batch is reckoned with.
const answerTokens = 64

// CachedTokens are the prompt tokens that the engine is believed to have
// cached.
func CachedTokens(req *Request, c Candidate) int {
	return min(req.Prompt.Tokens, c.Load.Prefixes.Cached(req.Prefix)*engine.BlockTokens)
}
