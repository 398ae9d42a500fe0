package streamend

import "siskinrun/internal/data/framing"

// Judgement says what the end of an answer means for the stream of which it holds the last part.
type Judgement uint8

const (
	// Whole means that the framing of the answer says that nothing follows.
	Whole Judgement = iota
	// Empty means that the framing of the answer says that it is whole, and that the stream has not one event.
	Empty
	// Cut means that the answer ended as that of an upstream that is lost does.
	Cut
	// Unsaid means that the answer, which has no framing, ended after an event: it may be whole or cut.
	Unsaid
)

// Of judges an answer that ended without an error after events that went on with the stream. Begun says that the stream has
// an event, from this answer or from one before.
func Of(f framing.Framing, events int, begun bool) Judgement {
	switch {
	case f == framing.None && events == 0:
		return Cut
	case f == framing.None:
		return Unsaid
	case !begun:
		return Empty
	default:
		return Whole
	}
}
