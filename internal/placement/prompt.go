package placement

import "strings"

// Part is one part of a prompt. Parts are listed in the order in which they appear in the prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a request's prompt for placement.
type Prompt struct {
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutput bounds the tokens to generate; 0 when it is not known.
	MaxOutput int
	// Parts has the prompt's parts by their ids; nil where the hashes of the blocks are known instead
	// (Request.Prefix).
	Parts []Part
}

// SharedKey returns the id of the last part that other requests share. It stands for all parts up to that
// one. The last part of the prompt belongs to the request alone, unless it is the only one.
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

// PartIDs returns the ids of the first parts, separated by commas, as in logs. Long ids are cut.
func (p Prompt) PartIDs() string {
	const maxParts, maxBytes = 16, 24
	ids := make([]string, 0, maxParts)
	for _, part := range p.Parts[:min(len(p.Parts), maxParts)] {
		ids = append(ids, part.ID[:min(len(part.ID), maxBytes)])
	}
	return strings.Join(ids, ",")
}
