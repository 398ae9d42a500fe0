package affinity

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the number of prompt bytes that one block hash covers.
	BlockBytes = 256
	// BlocksMax is the number of blocks of a prompt that are hashed.
	BlocksMax = 64
)

const hashBytes = 8

// Hash appends the chained hashes of the full blocks of prompt to b, salted by the model.
func Hash(b []uint64, model string, prompt []byte) []uint64 {
	h := xxhash.Sum64String(model)
	var buffer [hashBytes + BlockBytes]byte
	for n := 0; n < BlocksMax && len(prompt) >= BlockBytes; n++ {
		binary.LittleEndian.PutUint64(buffer[:hashBytes], h)
		copy(buffer[hashBytes:], prompt[:BlockBytes])
		h = xxhash.Sum64(buffer[:])
		b = append(b, h)
		prompt = prompt[BlockBytes:]
	}
	return b
}
