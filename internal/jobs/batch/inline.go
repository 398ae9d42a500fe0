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
	// inlineWindow is the completion window of an inline job whose route sets none.
	inlineWindow = time.Minute
	// inlineRetention is how long an ended inline job and its results are kept.
	inlineRetention = 5 * time.Minute
	// maxListingWait bounds the wait of one listing query for a result, well below the timeout of a call between
	// hosts.
	maxListingWait = 2 * time.Second
	// listingPollInterval is how often a leader checks for results that a listing query waits for.
	listingPollInterval = 20 * time.Millisecond
)

// Submit accepts an inline job, whose items are part of the request. A job that is sent again is accepted only once.
func (b *Service) Submit(ctx context.Context, j inlinejob.Job) error {
	s := &entry.Submit{
		Job:               j.ID,
		Team:              j.Team,
		Target:            j.Route,
		WindowNanoseconds: int64(j.RouteConfig.JobWindow.Duration()),
		KeepNanoseconds:   int64(inlineRetention),
		Attempts:          uint32(max(j.RouteConfig.MaxAttempts, 0)),
		TokenLimit:        j.RouteConfig.JobTokens,
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
		s.Tokens = append(s.Tokens, uint32(min(max(i.MaxTokens, 0), maxItemTokens)))
	}
	_, err := b.Command(ctx, b.GroupOf(j.Team), &entry.Command{Kind: &entry.Command_Submit{Submit: s}})
	if err != nil {
		return acceptanceUnknown(err)
	}
	return nil
}

// maxItemTokens bounds the token count of an item.
const maxItemTokens = 1 << 30

// Listing returns the results of an inline job from a position on. If there is none yet, it waits for one.
func (b *Service) Listing(ctx context.Context, team, id string, from int, wait time.Duration) (joblisting.Listing, error) {
	k := &entry.Listing{Job: id, From: uint32(max(from, 0)), WaitNanoseconds: int64(wait)}
	f, err := b.query(ctx, &entry.Query{Group: b.GroupOf(team), Kind: &entry.Query_Listing{Listing: k}})
	if err != nil {
		return joblisting.Listing{}, err
	}
	if len(f.Jobs) != 1 || f.Jobs[0].Team != team {
		return joblisting.Listing{}, notFound(kindJob)
	}
	l := joblisting.Listing{Total: int(f.Jobs[0].Total)}
	for _, r := range f.Listed {
		l.Results = append(l.Results, jobresult.Result{Name: r.Name, Done: r.Done, Output: r.Output})
	}
	return l, nil
}

// Input returns the input line of an item of an inline job that has not ended.
func (b *Service) Input(ctx context.Context, team, id, name string) ([]byte, error) {
	k := &entry.Input{Job: id, Name: name}
	f, err := b.query(ctx, &entry.Query{Group: b.GroupOf(team), Kind: &entry.Query_Input{Input: k}})
	if err != nil {
		return nil, err
	}
	if len(f.Jobs) != 1 || f.Jobs[0].Team != team {
		return nil, notFound(kindJob)
	}
	return f.Data, nil
}

// End cancels an inline job without waiting for its running items.
func (b *Service) End(ctx context.Context, team, id string) error {
	c := &entry.Cancel{Job: id, Team: team}
	_, err := b.Command(ctx, b.GroupOf(team), &entry.Command{Kind: &entry.Command_Cancel{Cancel: c}})
	return err
}

// awaitResult waits until an inline job has a result past a position or takes no more results, or until a timeout.
func (b *Service) awaitResult(ctx context.Context, l *ledger.Ledger, k *entry.Listing) {
	end := b.Timer.Now().Add(min(time.Duration(k.WaitNanoseconds), maxListingWait))
	for b.Timer.Now().Before(end) {
		n, open := l.Recorded(k.Job)
		if n > k.From || !open || b.Timer.Sleep(ctx, listingPollInterval) != nil {
			return
		}
	}
}

// answerInlineQuery answers queries about inline jobs from a ledger.
func answerInlineQuery(l *ledger.Ledger, q *entry.Query) (*entry.Found, error) {
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
