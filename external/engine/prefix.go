package engine

import "github.com/cespare/xxhash/v2"

// BlockBytes is the size of one cached block of a prompt. Engines cache only whole leading blocks; a
// shorter remainder is never cached.
const BlockBytes = 256

// BytesPerToken is the typical length of a prompt token, for cost estimates.
const BytesPerToken = 4

// BlockHashes returns the hash of each prefix of text that consists of whole blocks, under ref:
// element i covers blocks 0 to i. Cache events carry these hashes.
func BlockHashes(ref ModelRef, text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/BlockBytes)
	d := xxhash.New()
	for _, s := range []string{ref.Model, "\x00", ref.Adapter, "\x00", ref.Version, "\x00"} {
		d.WriteString(s)
	}
	for len(text) >= BlockBytes {
		d.WriteString(text[:BlockBytes])
		text = text[BlockBytes:]
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
