package batch

import (
	"context"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

// OpenCall records the intent to send an online call that may not be repeated. It returns the fencing token
// with which to close the call, or the answer of an earlier call with the same key.
func (b *Service) OpenCall(ctx context.Context, team, key string, fingerprint []byte) (fence uint64, answer []byte, err error) {
	o := &entry.Open{
		Team:            team,
		Key:             key,
		Fingerprint:     fingerprint,
		KeepNanoseconds: int64(CallRetention),
		Nonce:           b.newID("call", 0),
	}
	a, err := b.Command(ctx, b.keyGroup(team, key), &entry.Command{Kind: &entry.Command_Open{Open: o}})
	if err != nil {
		return 0, nil, asNotRun(err)
	}
	switch a.Opened.GetState() {
	case entry.Opened_NEW:
		return a.Opened.GetFence(), nil, nil
	case entry.Opened_CLOSED:
		return 0, a.Opened.GetAnswer(), nil
	}
	m := "an earlier request with this key was sent and its answer is not known"
	return 0, nil, refusal.NewMayHaveRun(409, "outcome-unknown", m)
}

// CloseCall records the answer of an opened call.
func (b *Service) CloseCall(ctx context.Context, team, key string, fence uint64, answer []byte) error {
	return b.closeCall(ctx, &entry.Close{Team: team, Key: key, Fence: fence, Answer: answer})
}

// ForgetCall frees the key of an opened call of which no byte was sent.
func (b *Service) ForgetCall(ctx context.Context, team, key string, fence uint64) error {
	return b.closeCall(ctx, &entry.Close{Team: team, Key: key, Fence: fence, NotRun: true})
}

func (b *Service) closeCall(ctx context.Context, c *entry.Close) error {
	_, err := b.Command(ctx, b.keyGroup(c.Team, c.Key), &entry.Command{Kind: &entry.Command_Close{Close: c}})
	return err
}
