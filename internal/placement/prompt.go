package placement

// Part is one part of a prompt, in the order of the prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what placement knows of a request's prompt.
type Prompt struct {
	// Tokens of the whole prompt.
	Tokens int
	// MaxOutput bounds the tokens to generate; 0 when it is not known.
	MaxOutput int
	// Parts are the prompt's parts by their ids; nil where the blocks' hashes
	// are known instead (Request.Prefix).
	Parts []Part
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
