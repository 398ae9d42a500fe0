package transport

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/headgrammar"
	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
)

// malformedError is an answer whose head or trailer breaks the grammar of HTTP. Its text does not hold the byte, which is the
// upstream's.
type malformedError struct {
	fault *headgrammar.Fault
}

// Error implements error.Error.
func (m malformedError) Error() string {
	return "the head or trailer of the answer is malformed: " + m.fault.Rule
}

// toRefusal returns the error as a refusal. The upstream was not lost: it answered.
func (m malformedError) toRefusal() error {
	return refusal.NewMayHaveRun(502, refusal.CodeSpuriousAnswer, m.Error())
}

// noteFault logs the fault of an answer's head or trailer, if that is what err is, and returns err as what it means to the call.
func (e *Transport) noteFault(k *conn, c *call.Call, err error) error {
	var f *headgrammar.Fault
	if !errors.As(err, &f) {
		return err
	}
	e.Log.Warn().
		Str("request-id", c.ID).
		Str("upstream", c.Upstream.Name).
		Str("address", k.address).
		Str("gateway", k.gateway).
		Str("rule", f.Rule).
		Str("byte", fmt.Sprintf("0x%02x", f.Byte)).
		Int("offset", f.Offset).
		Int("line", f.Line).
		Msg("answer malformed")
	return malformedError{f}
}
