package answer

import (
	"io"
	"strings"

	"siskinrun/internal/data/framing"
)

const (
	// eventStream is the media type of a stream of events.
	eventStream = "text/event-stream"
	// statusNoContent is the status of an answer without a body, and minOtherStatus the least one that is no success.
	statusNoContent = 204
	minOtherStatus  = 300
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

// EventStream reports whether the body is a stream of events by its media type, whatever its parameters.
func (a *Answer) EventStream() bool {
	t, _, _ := strings.Cut(a.ContentType, ";")
	return strings.EqualFold(strings.TrimSpace(t), eventStream)
}

// HoldsEvents reports whether the body is a stream of events that was asked for: a failure and an answer without a body hold none.
func (a *Answer) HoldsEvents() bool {
	return a.EventStream() && a.Status < minOtherStatus && a.Status != statusNoContent
}

// OtherSuccess reports whether the answer is a success with a body that is no stream of events.
func (a *Answer) OtherSuccess() bool {
	return !a.EventStream() && a.Status < minOtherStatus && a.Status != statusNoContent
}
