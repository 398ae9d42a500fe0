package affinity

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the number of prompt bytes that one block hash covers.
	BlockBytes = 256
	// MaxPromptBlocks is the maximum number of blocks hashed for a prompt.
	MaxPromptBlocks = 64
)

// hashSize is the size of a block hash in bytes.
const hashSize = 8

// Hash appends to b the chained hashes of the full blocks of prompt, seeded by the model name.
func Hash(b []uint64, model string, prompt []byte) []uint64 {
	h := xxhash.Sum64String(model)
	var buffer [hashSize + BlockBytes]byte
	for n := 0; n < MaxPromptBlocks && len(prompt) >= BlockBytes; n++ {
		binary.LittleEndian.PutUint64(buffer[:hashSize], h)
		copy(buffer[hashSize:], prompt[:BlockBytes])
		h = xxhash.Sum64(buffer[:])
		b = append(b, h)
		prompt = prompt[BlockBytes:]
	}
	return b
}
