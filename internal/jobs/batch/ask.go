package batch

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	methodCommand = "bulk/batch/command"
	methodQuery   = "bulk/batch/query"
	methodClaim   = "batch/claim"

	// askTimeout bounds the attempts to reach a leader.
	askTimeout = 6 * time.Second
	askPause   = 100 * time.Millisecond
	// claimTimeout bounds the wait for a named lease.
	claimTimeout = time.Second
)

// Command has the leader of a group apply a command, which must be idempotent as it may be sent twice.
func (b *Batch) Command(ctx context.Context, group uint32, c *entry.Command) (*entry.Answer, error) {
	m, err := proto.Marshal(&entry.Ask{Group: group, Command: c})
	if err != nil {
		return nil, refusal.NewNotRun(500, "internal-error", err.Error())
	}
	a := &entry.Answer{}
	if err := b.leader(ctx, group, methodCommand, m, a); err != nil {
		return nil, err
	}
	if r := a.Refused; r != nil {
		return nil, refusal.NewNotRun(int(r.Status), r.Code, r.Message)
	}
	return a, nil
}

// Claim leases a name to a holder, and returns the fencing number of term and sequence; held says that the holder has it now.
func (b *Batch) Claim(ctx context.Context, name, holder string, length time.Duration, held bool) (term, sequence uint64, err error) {
	c := &entry.Claim{Group: b.GroupOf(name), Name: name, Holder: holder, LengthNanoseconds: int64(length), Held: held}
	a := &entry.Claimed{}
	err = b.claim(ctx, c, a)
	return a.Term, a.Sequence, err
}

// Unclaim ends a lease on a name early.
func (b *Batch) Unclaim(ctx context.Context, name, holder string) error {
	c := &entry.Claim{Group: b.GroupOf(name), Name: name, Holder: holder, Release: true}
	return b.claim(ctx, c, &entry.Claimed{})
}

func (b *Batch) claim(ctx context.Context, c *entry.Claim, a *entry.Claimed) error {
	m, err := proto.Marshal(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r, err := b.Proposer.CallLeader(ctx, c.Group, methodClaim, m)
	if err != nil {
		return err
	}
	return proto.Unmarshal(r, a)
}

func (b *Batch) query(ctx context.Context, q *entry.Query) (*entry.Found, error) {
	m, err := proto.Marshal(q)
	if err != nil {
		return nil, refusal.NewNotRun(500, "internal-error", err.Error())
	}
	f := &entry.Found{}
	if err := b.leader(ctx, q.Group, methodQuery, m, f); err != nil {
		return nil, readOnly(err)
	}
	return f, nil
}

// Backlog returns the targets that had items ready in a group a moment ago.
func (b *Batch) Backlog(ctx context.Context, group uint32) ([]string, error) {
	q := &entry.Query{Group: group, Kind: &entry.Query_Backlog{Backlog: &entry.Backlog{}}}
	f, err := b.query(ctx, q)
	return f.GetBacklog(), err
}

// readOnly turns the verdict of a failed read into not-run, since a read changes nothing.
func readOnly(err error) error {
	r := *refusal.Of(err)
	r.Verdict = verdict.NotRun
	return &r
}

// leader calls the leader of a group until it answers, and keeps the worse verdict of the attempts.
func (b *Batch) leader(ctx context.Context, group uint32, method string, body []byte, answer proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	v := verdict.NotRun
	for {
		m, err := b.Proposer.CallLeader(ctx, group, method, body)
		if err == nil {
			return decode(m, answer)
		}
		r := *refusal.Of(err)
		r.Verdict = verdict.Worse(v, r.Verdict)
		v = r.Verdict
		if final(&r) || b.Timer.Sleep(ctx, askPause) != nil {
			return &r
		}
	}
}

func decode(m []byte, answer proto.Message) error {
	if err := proto.Unmarshal(m, answer); err != nil {
		return refusal.NewMayHaveRun(502, "unreadable-answer", "the leader's answer cannot be decoded")
	}
	return nil
}

// final reports whether another attempt would get the same refusal.
func final(r *refusal.Refusal) bool {
	return r.Status < 500 || r.Status == 501
}
