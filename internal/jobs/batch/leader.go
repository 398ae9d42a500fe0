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

	// leaderTimeout bounds all attempts of a call to a leader.
	leaderTimeout       = 6 * time.Second
	leaderRetryInterval = 100 * time.Millisecond
	// claimTimeout bounds the wait for the answer to a claim.
	claimTimeout = time.Second
)

// Command sends a command to the leader of a group. The command must be idempotent, since it may be sent again. The error is a
// refusal with the status of the last attempt and the worst verdict of all.
func (b *Service) Command(ctx context.Context, group uint32, c *entry.Command) (*entry.Answer, error) {
	m, err := proto.Marshal(&entry.Ask{Group: group, Command: c})
	if err != nil {
		return nil, refusal.NewNotRun(500, "internal-error", err.Error())
	}
	a := &entry.Answer{}
	v, err := b.callLeader(ctx, group, methodCommand, m, a)
	if err != nil {
		return nil, err
	}
	if r := a.Refused; r != nil {
		return nil, &refusal.Refusal{Status: int(r.Status), Code: r.Code, Message: r.Message, Verdict: v}
	}
	return a, nil
}

// Claim leases a name to a holder and returns the fencing token, the pair of term and sequence. held says that the
// holder has the lease now.
func (b *Service) Claim(ctx context.Context, name, holder string, length time.Duration, held bool) (term, sequence uint64, err error) {
	c := &entry.Claim{Group: b.GroupOf(name), Name: name, Holder: holder, LengthNanoseconds: int64(length), Held: held}
	a := &entry.Claimed{}
	err = b.claim(ctx, c, a)
	return a.Term, a.Sequence, err
}

// ReleaseClaim ends a lease on a name before it expires.
func (b *Service) ReleaseClaim(ctx context.Context, name, holder string) error {
	c := &entry.Claim{Group: b.GroupOf(name), Name: name, Holder: holder, Release: true}
	return b.claim(ctx, c, &entry.Claimed{})
}

func (b *Service) claim(ctx context.Context, c *entry.Claim, a *entry.Claimed) error {
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

func (b *Service) query(ctx context.Context, q *entry.Query) (*entry.Found, error) {
	m, err := proto.Marshal(q)
	if err != nil {
		return nil, refusal.NewNotRun(500, "internal-error", err.Error())
	}
	f := &entry.Found{}
	if _, err := b.callLeader(ctx, q.Group, methodQuery, m, f); err != nil {
		return nil, asNotRun(err)
	}
	return f, nil
}

// Backlog returns the targets that have items ready in a group. The answer may be stale.
func (b *Service) Backlog(ctx context.Context, group uint32) ([]string, error) {
	q := &entry.Query{Group: group, Kind: &entry.Query_Backlog{Backlog: &entry.Backlog{}}}
	f, err := b.query(ctx, q)
	return f.GetBacklog(), err
}

// asNotRun sets the verdict of a failed request that starts no work, such as a read, to not-run.
func asNotRun(err error) error {
	r := *refusal.Of(err)
	r.Verdict = verdict.NotRun
	return &r
}

// callLeader calls the leader of a group until it answers, and returns the worst verdict of the attempts that failed.
func (b *Service) callLeader(
	ctx context.Context, group uint32, method string, body []byte, answer proto.Message,
) (verdict.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	v := verdict.NotRun
	for {
		m, err := b.Proposer.CallLeader(ctx, group, method, body)
		if err == nil {
			return v, decode(m, answer)
		}
		r := *refusal.Of(err)
		r.Verdict = verdict.Worse(v, r.Verdict)
		v = r.Verdict
		if permanent(&r) || b.Timer.Sleep(ctx, leaderRetryInterval) != nil {
			return v, &r
		}
	}
}

func decode(m []byte, answer proto.Message) error {
	if err := proto.Unmarshal(m, answer); err != nil {
		return refusal.NewMayHaveRun(502, "unreadable-answer", "the leader's answer cannot be decoded")
	}
	return nil
}

// permanent reports whether a retry would get the same refusal.
func permanent(r *refusal.Refusal) bool {
	return r.Status < 500 || r.Status == 501
}
