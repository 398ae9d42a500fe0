package answerproof

// Proof tells whether an answer bears a proof that its upstream made it.
type Proof uint8

const (
	// None means that upstreams prove nothing, or that there is no answer.
	None Proof = iota
	// Valid means that the answer bears the proof.
	Valid
	// Missing means that upstreams prove their answers and that this one bears no proof.
	Missing
)

var names = [...]string{"none", "valid", "missing"}

// String returns the name used in logs, or unknown for an invalid proof.
func (p Proof) String() string {
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}
