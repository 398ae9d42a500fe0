package transport

import (
	"bufio"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/answerhead"
	"siskinrun/internal/data/answerheaders"
	"siskinrun/internal/data/answerproof"
	"siskinrun/internal/data/call"
	"siskinrun/internal/wire/provenance"
)

// maxInterimAnswers is the most interim answers that may come before an answer.
const maxInterimAnswers = 100

// readHeaders reads the headers of the answer to a call, and returns an error if it is not the upstream's answer.
func (e *Transport) readHeaders(k *conn, c *call.Call, p *fasthttp.Response) (answerheaders.Headers, error) {
	p.StreamBody = true
	p.SkipBody = c.Method == fasthttp.MethodHead
	if err := readAnswer(k.in, p); err != nil {
		return answerheaders.Headers{}, e.noteFault(k, c, err)
	}
	r := e.dialect().ParseHeaders(&p.Header)
	proof := e.dialect().Proof(&p.Header)
	c.Record.AnswerProof, c.Record.AnswerNamed = proof, r.CallID != ""
	if f := (provenance.Check{CallID: c.ID, Named: k.named}).Fault(p.StatusCode(), r, proof); f != "" {
		return r, spuriousError(f)
	}
	if p.Header.ContentLength() == lengthIdentity && !p.ConnectionClose() && p.BodyStream() != nil {
		return r, protocolError("the answer has a body without a length on a persistent connection")
	}
	k.named = k.named || r.CallID != ""
	k.unnamed = r.CallID == "" && proof != answerproof.None
	k.idleTTL = r.IdleTimeout
	c.Record.RateLimit = r.RateLimit
	return r, nil
}

// readAnswer reads the head of the answer that follows on a connection, past interim ones, and leaves its body to be read. It looks at
// each head before the HTTP library reads it, which lets blanks in names pass.
func readAnswer(in *bufio.Reader, p *fasthttp.Response) error {
	for range maxInterimAnswers {
		h, err := answerhead.Peek(in)
		if err != nil {
			return rejected(err)
		}
		if !h.Interim() {
			return readFinal(in, p, h.Status)
		}
		if err := p.Header.Read(in); err != nil {
			return err
		}
	}
	return protocolError("the upstream sends interim answers without end")
}

// readFinal reads the head of an answer that none follows.
func readFinal(in *bufio.Reader, p *fasthttp.Response, status int) error {
	if status == fasthttp.StatusSwitchingProtocols {
		return protocolError("the answer switches to another protocol")
	}
	return p.Read(in)
}

// rejected returns the error of a head that was looked at as what it means to the call.
func rejected(err error) error {
	switch {
	case errors.Is(err, answerhead.ErrInvalidStatus):
		return spuriousError(err.Error())
	case errors.Is(err, answerhead.ErrNoStatusLine), errors.Is(err, answerhead.ErrMalformedStatus):
		return protocolError(err.Error())
	}
	return err
}
