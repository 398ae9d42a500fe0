package answer

import (
	"io"

	"siskinrun/internal/data/framing"
)

// Answer is the status, the headers and the body stream of an upstream's answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Headers are the other end-to-end headers as pairs of name and value.
	Headers [][2]string
	// Upstream is the name of the upstream that answered.
	Upstream string
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int
	// Framing is how the answer says where its body ends.
	Framing framing.Framing
	// Body returns io.EOF only after the complete body.
	Body io.ReadCloser
}
