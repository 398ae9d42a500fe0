package link

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"siskinrun/internal/frame"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func exchange(ctx context.Context, s *yamux.Stream, method string, body []byte) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	defer func() { _ = s.Close() }()
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	if _, err := protodelim.MarshalTo(s, &frame.Frame{Method: method, Body: body}); err != nil {
		return nil, lost(err)
	}
	p := &frame.Reply{}
	o := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := o.UnmarshalFrom(buffered(s), p); err != nil {
		return nil, lost(err)
	}
	if p.Refusal != nil {
		return nil, received(p.Refusal)
	}
	return p.Body, nil
}

func (l *Link) tell(s *yamux.Stream, method string, body []byte) error {
	defer func() { _ = s.Close() }()
	_ = s.SetWriteDeadline(time.Now().Add(heartbeatTimeout))
	_, err := protodelim.MarshalTo(s, &frame.Frame{Method: method, Body: body, OneWay: true})
	return err
}

func lost(err error) error {
	return refusal.NewMayHaveRun(504, "peer-lost", "the answer of the peer was lost: "+err.Error())
}

// handle answers the one call of a stream.
func (l *Link) handle(ctx context.Context, from string, s *yamux.Stream) {
	defer func() { _ = s.Close() }()
	f := &frame.Frame{}
	o := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := o.UnmarshalFrom(buffered(s), f); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := l.answer(ctx, from, f.Method, f.Body)
	if f.OneWay {
		return
	}
	p := &frame.Reply{Body: b}
	if err != nil {
		p = &frame.Reply{Refusal: sent(refusal.Of(err))}
	}
	_ = s.SetWriteDeadline(time.Now().Add(callTimeout))
	_, _ = protodelim.MarshalTo(s, p)
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
