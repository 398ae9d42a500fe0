package provenance

import (
	"siskinrun/internal/data/answerheaders"
	"siskinrun/internal/data/answerproof"
)

const (
	// minStatus and minFailure are the least status of an answer, and the least that is no success.
	minStatus  = 200
	minFailure = 300
)

// notRunStatuses are the failures from which callers conclude that a request has not run.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// Check checks the messages that come on a connection for a call.
type Check struct {
	// CallID is the ID of the call, empty if it has none.
	CallID string
	// Named says that an earlier answer on the connection named its call, as all later ones must.
	Named bool
}

// Fault returns why a message is not the upstream's answer to the call, empty if it is.
//
// An upstream that proves its answers also names the call in each of them: only a refusal, which is the first message on its
// connection, may come without. Upstreams that prove nothing need not name the call either.
func (c Check) Fault(status int, h answerheaders.Headers, p answerproof.Proof) string {
	proves := c.CallID != "" && p != answerproof.None
	switch {
	case h.CallID != "" && h.CallID != c.CallID:
		return "the answer carries the ID of another request"
	case h.CallID == "" && (c.Named || proves && !h.NotRun):
		return "the answer does not say to which request it belongs"
	case proves && !h.NotRun && p == answerproof.Missing && needsProof(status):
		return "the answer bears no proof that the upstream made it"
	}
	return ""
}

// needsProof reports whether callers rely on the status of an answer: a success, or a failure that says that nothing ran.
func needsProof(status int) bool {
	return status >= minStatus && status < minFailure || notRunStatuses[status]
}
