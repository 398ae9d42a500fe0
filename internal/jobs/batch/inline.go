package batch

import (
	"context"
	"encoding/json"
	"time"

	"siskinrun/internal/data/inlinejob"
	"siskinrun/internal/data/joblisting"
	"siskinrun/internal/data/jobresult"
	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/pkg/refusal"
)

const (
	// inlineWindow is the window of an inline job whose route names none.
	inlineWindow = time.Minute
	// inlineKeep is how long the results of an inline job stay after its end.
	inlineKeep = 5 * time.Minute
	// maxListingWait bounds the wait of one question for a result, well inside the time of a call between hosts.
	maxListingWait = 2 * time.Second
	// listingPoll is how often a leader looks for results that a reader waits for.
	listingPoll = 20 * time.Millisecond
)

// Submit accepts a job with its items once, however often it is handed in.
func (b *Batch) Submit(ctx context.Context, j inlinejob.Job) error {
	s := &entry.Submit{
		Job:               j.ID,
		Team:              j.Team,
		Target:            j.Route,
		WindowNanoseconds: int64(j.Rule.JobWindow.Duration()),
		KeepNanoseconds:   int64(inlineKeep),
		Attempts:          uint32(max(j.Rule.Attempts, 0)),
		TokenLimit:        j.Rule.JobTokens,
	}
	if s.WindowNanoseconds == 0 {
		s.WindowNanoseconds = int64(inlineWindow)
	}
	for _, i := range j.Items {
		l, err := json.Marshal(i.Line)
		if err != nil {
			return refusal.NewNotRun(400, "bad-item", err.Error())
		}
		s.Names = append(s.Names, i.Line.CustomID)
		s.Lines = append(s.Lines, l)
		s.Tokens = append(s.Tokens, uint32(min(max(i.Tokens, 0), maxTokens)))
	}
	_, err := b.Command(ctx, b.GroupOf(j.Team), &entry.Command{Kind: &entry.Command_Submit{Submit: s}})
	if err != nil {
		return unknown(err)
	}
	return nil
}

// maxTokens bounds the tokens of one item.
const maxTokens = 1 << 30

// Listing returns the results of an inline job from a position on, waiting for one if there is none yet.
func (b *Batch) Listing(ctx context.Context, team, id string, from int, wait time.Duration) (joblisting.Listing, error) {
	k := &entry.Listing{Job: id, From: uint32(max(from, 0)), WaitNanoseconds: int64(wait)}
	f, err := b.query(ctx, &entry.Query{Group: b.GroupOf(team), Kind: &entry.Query_Listing{Listing: k}})
	if err != nil {
		return joblisting.Listing{}, err
	}
	if len(f.Jobs) != 1 || f.Jobs[0].Team != team {
		return joblisting.Listing{}, noSuch(kindJob)
	}
	l := joblisting.Listing{Total: int(f.Jobs[0].Total)}
	for _, r := range f.Listed {
		l.Results = append(l.Results, jobresult.Result{Name: r.Name, Done: r.Done, Output: r.Output})
	}
	return l, nil
}

// Input returns the input line of an open item of an inline job.
func (b *Batch) Input(ctx context.Context, team, id, name string) ([]byte, error) {
	k := &entry.Input{Job: id, Name: name}
	f, err := b.query(ctx, &entry.Query{Group: b.GroupOf(team), Kind: &entry.Query_Input{Input: k}})
	if err != nil {
		return nil, err
	}
	if len(f.Jobs) != 1 || f.Jobs[0].Team != team {
		return nil, noSuch(kindJob)
	}
	return f.Data, nil
}

// End ends an inline job without waiting for the items that run.
func (b *Batch) End(ctx context.Context, team, id string) error {
	c := &entry.Cancel{Job: id, Team: team}
	_, err := b.Command(ctx, b.GroupOf(team), &entry.Command{Kind: &entry.Command_Cancel{Cancel: c}})
	return err
}

// await waits until an inline job has a result past a position, cannot get one, or the time is over.
func (b *Batch) await(ctx context.Context, l *ledger.Ledger, k *entry.Listing) {
	end := b.Timer.Now().Add(min(time.Duration(k.WaitNanoseconds), maxListingWait))
	for b.Timer.Now().Before(end) {
		n, open := l.Recorded(k.Job)
		if n > k.From || !open || b.Timer.Sleep(ctx, listingPoll) != nil {
			return
		}
	}
}

// findInline answers the queries about inline jobs.
func findInline(l *ledger.Ledger, q *entry.Query) (*entry.Found, error) {
	id := q.GetListing().GetJob() + q.GetInput().GetJob()
	j, err := l.Job(id)
	if err != nil {
		return nil, err
	}
	f := &entry.Found{Jobs: []*entry.Job{j}}
	if k := q.GetInput(); k != nil {
		f.Data, err = l.Input(k.Job, k.Name)
		return f, err
	}
	f.Listed, err = l.InlineResults(id, q.GetListing().From, pageBytes)
	return f, err
}
