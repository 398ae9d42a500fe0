package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/lease"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/pkg/refusal"
)

const (
	// sweepCheckInterval is how often a leader checks for expired leases and completion windows.
	sweepCheckInterval = 250 * time.Millisecond
	// sweepInterval is how often a leader sweeps a ledger in which nothing has expired.
	sweepInterval = time.Minute
	// sweepTimeout bounds a sweep.
	sweepTimeout = 2 * time.Second
	// maxLeasedLineBytes bounds the input lines in an answer to a lease request.
	maxLeasedLineBytes = 8 << 20
)

// Run sweeps the ledgers that this host leads until ctx ends, which expires leases, jobs, files and keys, and asks hosts for their
// claims where a new leader needs to know them.
func (b *Service) Run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	g.Go("sweep", b.runSweeps)
	if b.ClaimHosts != nil {
		g.Go("held-claims", b.runHeldClaims)
	}
	return g.Wait()
}

func (b *Service) runSweeps(ctx context.Context) error {
	for {
		if err := b.Timer.Sleep(ctx, sweepCheckInterval); err != nil {
			return err
		}
		for g, l := range b.Ledgers {
			b.sweep(ctx, g, l)
		}
	}
}

func (b *Service) sweep(ctx context.Context, g uint32, l *ledger.Ledger) {
	n := b.Timer.Now()
	if !b.lead(g).Leading || l.Empty() {
		return
	}
	if !l.SweepDue(n.UnixNano()) && n.Sub(b.lastSweep[g]) < sweepInterval {
		return
	}
	b.lastSweep[g] = n
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	c := &entry.Command{Kind: &entry.Command_Sweep{Sweep: &entry.Sweep{}}}
	if _, err := b.propose(ctx, g, c); err != nil {
		b.Log.Warn().Err(err).Uint32("group", g).Msg("ledger sweep failed")
	}
}

// propose sets the leader's term and time in a command and proposes it.
func (b *Service) propose(ctx context.Context, g uint32, c *entry.Command) ([]byte, error) {
	d := b.lead(g)
	if !d.Leading {
		return nil, notLeader(d.Leader)
	}
	c.Term = d.Term
	c.Now = b.Timer.Now().UnixNano()
	m, err := proto.Marshal(c)
	if err != nil {
		return nil, refusal.NewNotRun(500, "internal-error", err.Error())
	}
	return b.Proposer.Propose(ctx, g, m)
}

// lead returns this host's leadership of a group. A host without its ledger never leads.
func (b *Service) lead(g uint32) leadership.Status {
	if b.Ledgers[g] == nil {
		return leadership.Status{}
	}
	return b.Proposer.Lead(g)
}

func notLeader(leader string) error {
	return refusal.NewNotRun(503, "not-leader", leader)
}

func (b *Service) handleCommand(ctx context.Context, _ string, body []byte) ([]byte, error) {
	k := &entry.Ask{}
	if err := proto.Unmarshal(body, k); err != nil || k.Command == nil {
		return nil, refusal.NewNotRun(400, "unreadable-command", "the command cannot be decoded")
	}
	l := b.Ledgers[k.Group]
	if l == nil {
		return nil, notLeader("")
	}
	t := k.Command.GetTake()
	if t != nil && b.lead(k.Group).Leading {
		b.setOrder(k.Group, t)
	}
	m, err := b.propose(ctx, k.Group, k.Command)
	if err != nil || t == nil {
		return m, err
	}
	return addLines(l, m)
}

// addLines adds the input lines to the leases in an encoded answer.
func addLines(l *ledger.Ledger, m []byte) ([]byte, error) {
	a := &entry.Answer{}
	if err := proto.Unmarshal(m, a); err != nil || a.Taken == nil {
		return m, err
	}
	if err := l.FillInputs(a.Taken.Leases, maxLeasedLineBytes); err != nil {
		return nil, err
	}
	return proto.Marshal(a)
}

func (b *Service) handleClaim(_ context.Context, _ string, body []byte) ([]byte, error) {
	c := &entry.Claim{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, refusal.NewNotRun(400, "unreadable-claim", "the claim cannot be decoded")
	}
	d := b.lead(c.Group)
	t := b.claims[c.Group]
	if t == nil || !d.Leading {
		return nil, notLeader(d.Leader)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Timer.Now()
	t.StartTerm(d.Term, d.Since)
	t.Sweep(n)
	if c.Release {
		t.Release(c.Name, c.Holder)
		return nil, nil
	}
	term, seq, err := t.Grant(n, c.Name, c.Holder, time.Duration(c.LengthNanoseconds), c.Held)
	if errors.Is(err, lease.ErrWaiting) {
		b.waiting.Set()
	}
	if err != nil {
		return nil, refusal.NewNotRun(409, "claim-refused", err.Error())
	}
	return proto.Marshal(&entry.Claimed{Term: term, Sequence: seq})
}

func (b *Service) handleQuery(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &entry.Query{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "unreadable-query", "the query cannot be decoded")
	}
	l := b.Ledgers[q.Group]
	if l == nil {
		return nil, notLeader("")
	}
	if q.GetBacklog() != nil {
		return proto.Marshal(&entry.Found{Backlog: l.Backlog(b.Timer.Now().UnixNano())})
	}
	if k := q.GetListing(); k.GetWaitNanoseconds() > 0 && b.lead(q.Group).Leading {
		b.awaitResult(ctx, l, k)
	}
	if !q.GetResults().GetEnded() {
		if err := b.confirmLeadership(ctx, q.Group); err != nil {
			return nil, err
		}
	}
	f, err := answerQuery(l, q)
	if errors.Is(err, ledger.ErrNotFound) {
		return nil, refusal.NewNotRun(404, "not-found", "the group has no such file or job")
	}
	if err != nil {
		return nil, refusal.NewNotRun(500, "storage-failed", err.Error())
	}
	if f.Previewed != nil {
		f.Previewed.Leader = b.lead(q.Group).Leader
	}
	return proto.Marshal(f)
}

// confirmLeadership verifies that this host still leads, so that it does not answer from stale state.
func (b *Service) confirmLeadership(ctx context.Context, g uint32) error {
	if d := b.lead(g); !d.Leading {
		return notLeader(d.Leader)
	}
	_, err := b.Proposer.Confirm(ctx, g)
	return err
}

func answerQuery(l *ledger.Ledger, q *entry.Query) (*entry.Found, error) {
	switch k := q.Kind.(type) {
	case *entry.Query_File:
		f, err := l.File(k.File)
		return &entry.Found{File: f}, err
	case *entry.Query_Job:
		j, err := l.Job(k.Job)
		return &entry.Found{Jobs: []*entry.Job{j}}, err
	case *entry.Query_Jobs:
		return &entry.Found{Jobs: l.Jobs(k.Jobs, maxListedJobs)}, nil
	case *entry.Query_Used:
		return &entry.Found{Used: l.StoredBytes(k.Used)}, nil
	case *entry.Query_Content:
		d, err := l.Content(k.Content.File, k.Content.Offset, pageBytes)
		return &entry.Found{Data: d}, err
	case *entry.Query_Results:
		return readPage(l, k.Results)
	case *entry.Query_Preview:
		return &entry.Found{Previewed: l.Preview(k.Preview)}, nil
	case *entry.Query_Listing, *entry.Query_Input:
		return answerInlineQuery(l, q)
	}
	return nil, ledger.ErrNotFound
}
