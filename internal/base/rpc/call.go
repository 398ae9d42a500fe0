package rpc

import (
	"bytes"
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/compression"
	"siskinrun/internal/base/frame"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// roundTrip makes one call on a stream and reports whether the stream can be reused.
func roundTrip(ctx context.Context, s *yamux.Stream, method string, body []byte) (answer []byte, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer func() {
		if reusable = stop() && reusable; !reusable {
			_ = s.Close()
		}
	}()
	d, _ := ctx.Deadline()
	_ = s.SetDeadline(d)
	if err := writeMessage(s, newFrame(method, body)); err != nil {
		return nil, false, newPeerLost(err)
	}
	p := &frame.Reply{}
	o := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := o.UnmarshalFrom(buffered(s), p); err != nil {
		return nil, false, newPeerLost(err)
	}
	if p.Refusal != nil {
		return nil, true, decodeRefusal(p.Refusal)
	}
	answer, err = decompress(p.Body, p.Packed)
	if err != nil {
		return nil, false, newPeerLost(err)
	}
	return answer, true, nil
}

// compressor compresses the bodies of all calls.
var compressor compression.Compressor

func newFrame(method string, body []byte) *frame.Frame {
	b, packed := compressor.Compress(body)
	return &frame.Frame{Method: method, Body: b, Packed: packed}
}

func decompress(body []byte, packed bool) ([]byte, error) {
	if !packed {
		return body, nil
	}
	return compressor.Decompress(body, maxFrameBytes)
}

// writeMessage sends a length-delimited message in one write.
func writeMessage(s *yamux.Stream, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return err
	}
	_, err := s.Write(b.Bytes())
	return err
}

func (l *Endpoint) sendOneWay(s *yamux.Stream, method string, body []byte) error {
	_ = s.SetDeadline(l.Timer.DeadlineIn(pingTimeout))
	f := newFrame(method, body)
	f.OneWay = true
	err := writeMessage(s, f)
	if err != nil {
		_ = s.Close()
	}
	return err
}

func newPeerLost(err error) error {
	return refusal.NewMayHaveRun(504, "peer-lost", "the connection failed before the peer answered: "+err.Error())
}

// errTooManyStreams refuses a call of a peer that has too many streams.
var errTooManyStreams = refusal.NewNotRun(503, "too-many-streams", "the peer has too many streams to this host").
	WithRetryAfter(time.Second)

// serveStream serves the calls of a stream in order. If there are too many streams it refuses the first call and ends.
func (l *Endpoint) serveStream(ctx context.Context, from string, s *yamux.Stream, full bool) {
	defer func() { _ = s.Close() }()
	r := buffered(s)
	o := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		f := &frame.Frame{}
		if err := o.UnmarshalFrom(r, f); err != nil {
			return
		}
		if full {
			l.refuse(s, f, errTooManyStreams)
			return
		}
		if l.serveOpen(ctx, from, &streamConn{Stream: s, in: r}, f) || !l.serveCall(ctx, from, s, f) {
			return
		}
	}
}

// serveCall serves one call and reports whether the stream can be reused.
func (l *Endpoint) serveCall(ctx context.Context, from string, s *yamux.Stream, f *frame.Frame) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := decompress(f.Body, f.Packed)
	if err == nil {
		b, err = l.dispatch(ctx, from, f.Method, b)
	}
	if f.OneWay {
		return true
	}
	p := &frame.Reply{}
	p.Body, p.Packed = compressor.Compress(b)
	if err != nil {
		p = &frame.Reply{Refusal: encodeRefusal(refusal.Of(err))}
	}
	_ = s.SetWriteDeadline(l.Timer.DeadlineIn(callTimeout))
	return writeMessage(s, p) == nil
}

// refuse answers a call with a refusal, unless it wants no answer.
func (l *Endpoint) refuse(s *yamux.Stream, f *frame.Frame, err *refusal.Refusal) {
	if f.OneWay {
		return
	}
	_ = s.SetWriteDeadline(l.Timer.DeadlineIn(callTimeout))
	_ = writeMessage(s, &frame.Reply{Refusal: encodeRefusal(err)})
}

func encodeRefusal(r *refusal.Refusal) *frame.Refusal {
	return &frame.Refusal{
		Status:                int32(r.Status),
		Code:                  r.Code,
		Message:               r.Message,
		Verdict:               uint32(r.Verdict),
		RetryAfterNanoseconds: int64(r.RetryAfter),
	}
}

func decodeRefusal(r *frame.Refusal) *refusal.Refusal {
	v := verdict.Verdict(r.Verdict)
	if v > verdict.Ran {
		v = verdict.MayHaveRun
	}
	return &refusal.Refusal{
		Status:     int(r.Status),
		Code:       r.Code,
		Message:    r.Message,
		Verdict:    v,
		RetryAfter: time.Duration(r.RetryAfterNanoseconds),
	}
}
