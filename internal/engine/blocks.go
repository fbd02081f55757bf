package engine

import "github.com/cespare/xxhash/v2"

// BlockTokens is the number of tokens in a KV cache block. charsPerToken is the estimated number of bytes of
// text per token.
const (
	BlockTokens   = 16
	charsPerToken = 4
)

// BlockHashes returns the hashes of the complete blocks of a prompt, at most limit of them. Limit 0 means
// all. Each hash covers the prompt up to the end of the block, so equal hashes mean equal prefixes.
// CacheEvent.Block has such a hash.
func BlockHashes(prompt string, blockTokens, limit int) []uint64 {
	size := blockTokens * charsPerToken
	count := len(prompt) / size
	if limit > 0 {
		count = min(count, limit)
	}
	hashes := make([]uint64, 0, count)
	digest := xxhash.New()
	for i := range count {
		_, _ = digest.WriteString(prompt[i*size : (i+1)*size]) // Digest.WriteString never returns an error
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
