package answertext

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Impossible is a word that makes a stand-in reject every prompt that contains it.
const Impossible = "impossible"

// Token returns the token at the given index of the answer to a prompt.
func Token(model, prompt string, index int) string {
	h := xxhash.Sum64String(model + "\x00" + prompt + "\x00" + strconv.Itoa(index))
	return fmt.Sprintf("%08x ", uint32(h))
}

// Answer returns the first tokens of the answer to a prompt, joined.
func Answer(model, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}
