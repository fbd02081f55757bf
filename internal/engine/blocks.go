package engine

import "github.com/cespare/xxhash/v2"

// BlockTokens is the number of tokens in a piece of KV memory, and charsPerToken
// the estimate that turns text into tokens.
const (
	BlockTokens   = 16
	charsPerToken = 4
)

// BlockHashes returns the hashes of a prompt's whole blocks, at most limit of
// them; each covers the prompt up to the block's end, so that equal hashes mean
// an equal prefix. They are the Block of a CacheEvent. Limit 0 means all.
func BlockHashes(prompt string, blockTokens, limit int) []uint64 {
	size := blockTokens * charsPerToken
	count := len(prompt) / size
	if limit > 0 {
		count = min(count, limit)
	}
	hashes := make([]uint64, 0, count)
	digest := xxhash.New()
	for i := range count {
		_, _ = digest.WriteString(prompt[i*size : (i+1)*size]) // a hash never fails
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
