package answer

import "io"

// Answer is the head of an upstream's answer and the stream of its body.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Headers are the other end-to-end headers as name and value.
	Headers [][2]string
	// Upstream names the upstream that answered.
	Upstream string
	// Length is the number of body bytes, or -1 if unknown.
	Length int
	// Body ends with io.EOF only when the whole body was received.
	Body io.ReadCloser
}
