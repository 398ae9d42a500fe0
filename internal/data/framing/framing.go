package framing

// Framing is how an answer says where its body ends.
type Framing uint8

const (
	// Unknown means that there is no answer.
	Unknown Framing = iota
	// Length means that the answer names the length of its body.
	Length
	// Chunks means that the body comes in chunks, of which the last is empty.
	Chunks
	// None means that the body ends with its connection.
	None
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	switch f {
	case Length:
		return "length"
	case Chunks:
		return "chunks"
	case None:
		return "none"
	default:
		return ""
	}
}
