package link

import (
	"bytes"
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/frame"
	"siskinrun/internal/base/packing"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// exchange makes one call on a stream and reports whether the stream can carry another one.
func exchange(ctx context.Context, s *yamux.Stream, method string, body []byte) (answer []byte, whole bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer func() {
		if whole = stop() && whole; !whole {
			_ = s.Close()
		}
	}()
	d, _ := ctx.Deadline()
	_ = s.SetDeadline(d)
	if err := write(s, newFrame(method, body)); err != nil {
		return nil, false, lost(err)
	}
	p := &frame.Reply{}
	o := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := o.UnmarshalFrom(buffered(s), p); err != nil {
		return nil, false, lost(err)
	}
	if p.Refusal != nil {
		return nil, true, received(p.Refusal)
	}
	answer, err = unpack(p.Body, p.Packed)
	if err != nil {
		return nil, false, lost(err)
	}
	return answer, true, nil
}

// packer shortens the bodies of all links.
var packer packing.Packing

func newFrame(method string, body []byte) *frame.Frame {
	b, packed := packer.Pack(body)
	return &frame.Frame{Method: method, Body: b, Packed: packed}
}

func unpack(body []byte, packed bool) ([]byte, error) {
	if !packed {
		return body, nil
	}
	return packer.Unpack(body, maxFrameBytes)
}

// write sends a message in one frame.
func write(s *yamux.Stream, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return err
	}
	_, err := s.Write(b.Bytes())
	return err
}

func (l *Link) tell(s *yamux.Stream, method string, body []byte) error {
	_ = s.SetDeadline(l.Timer.DeadlineIn(heartbeatTimeout))
	f := newFrame(method, body)
	f.OneWay = true
	err := write(s, f)
	if err != nil {
		_ = s.Close()
	}
	return err
}

func lost(err error) error {
	return refusal.NewMayHaveRun(504, "peer-lost", "the answer of the peer was lost: "+err.Error())
}

// handle answers the calls of a stream, one after the other.
func (l *Link) handle(ctx context.Context, from string, s *yamux.Stream) {
	defer func() { _ = s.Close() }()
	r := buffered(s)
	o := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		f := &frame.Frame{}
		if err := o.UnmarshalFrom(r, f); err != nil || !l.reply(ctx, from, s, f) {
			return
		}
	}
}

// reply answers one call and reports whether the stream can carry another one.
func (l *Link) reply(ctx context.Context, from string, s *yamux.Stream, f *frame.Frame) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := unpack(f.Body, f.Packed)
	if err == nil {
		b, err = l.answer(ctx, from, f.Method, b)
	}
	if f.OneWay {
		return true
	}
	p := &frame.Reply{}
	p.Body, p.Packed = packer.Pack(b)
	if err != nil {
		p = &frame.Reply{Refusal: sent(refusal.Of(err))}
	}
	_ = s.SetWriteDeadline(l.Timer.DeadlineIn(callTimeout))
	return write(s, p) == nil
}

func sent(r *refusal.Refusal) *frame.Refusal {
	return &frame.Refusal{
		Status:                int32(r.Status),
		Code:                  r.Code,
		Message:               r.Message,
		Verdict:               uint32(r.Verdict),
		RetryAfterNanoseconds: int64(r.RetryAfter),
	}
}

func received(r *frame.Refusal) *refusal.Refusal {
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
