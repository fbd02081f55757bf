package placement

import (
	"time"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
)

// LoadView returns the view of a candidate's load that a plugin uses.
type LoadView func(req *Request, c Candidate) load.View

// defaultPrefillRate, in prompt tokens per second, is used for an engine that has not reported a rate.
const defaultPrefillRate = 4000

// firstTokenScale is the predicted time that halves the score.
const firstTokenScale = 500 * time.Millisecond

// FirstTokenScorer prefers engines that are predicted to send the first token sooner. The score is 1 for no
// wait, one half at half a second, and approaches 0. The deadline of the first token is the first one missed
// when the traffic shifts to long prompts.
type FirstTokenScorer struct {
	View LoadView
	// PrefixHints subtracts the part of the prompt that the engine is estimated to have cached.
	PrefixHints bool
}

// Score implements Scorer.
func (s FirstTokenScorer) Score(req *Request, c Candidate) float64 {
	wait := PredictFirstToken(req, c, s.View, s.PrefixHints)
	return 1 / (1 + wait.Seconds()/firstTokenScale.Seconds())
}

// PredictFirstToken returns the predicted time to the first token of a request on an engine. It divides the
// queued prompt tokens and the request's own, less the cached prefix, by the measured prefill rate, and adds
// the wait for a place in the batch.
func PredictFirstToken(req *Request, c Candidate, view LoadView, prefixHints bool) time.Duration {
	rate := c.Load.Report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	current := view(req, c)
	tokens := current.PrefillTokens + req.Prompt.Tokens
	if prefixHints {
		tokens -= CachedTokens(req, c)
	}
	wait := float64(tokens) / rate
	if decode := c.Load.Report.DecodeRate; decode > 0 {
		wait += float64(current.Waiting) * answerTokens / decode
	}
	return time.Duration(wait * float64(time.Second))
}

// answerTokens is the answer length assumed for the wait for a place in the batch.
const answerTokens = 64

// CachedTokens returns the number of prompt tokens that the engine is estimated to have cached.
func CachedTokens(req *Request, c Candidate) int {
	return min(req.Prompt.Tokens, c.Load.Prefixes.Cached(req.Prefix)*engine.BlockTokens)
}
