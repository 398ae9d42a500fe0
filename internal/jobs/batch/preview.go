package batch

import (
	"context"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/joboutlook"
	"siskinrun/internal/data/route"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

// codeTooManyTokens is the code with which a ledger refuses a job over the token limit.
const codeTooManyTokens = "too-many-tokens"

// Explain returns what Submit would do with an inline job of so many tokens now. It asks the leader of the group and changes
// nothing; if the leader can't be asked, the outcome is the code of that refusal.
func (b *Service) Explain(ctx context.Context, team, name string, r route.Route, tokens int64) joboutlook.Outlook {
	g := b.GroupOf(team)
	o := joboutlook.Outlook{Group: g, Tokens: tokens, TokenLimit: r.JobTokens, Target: r.JobTarget, Window: r.JobWindow}
	if o.Window == 0 {
		o.Window = duration.Duration(inlineWindow)
	}
	k := &entry.Preview{Team: team, Target: name, Tokens: tokens, TokenLimit: r.JobTokens}
	f, err := b.query(ctx, &entry.Query{Group: g, Kind: &entry.Query_Preview{Preview: k}})
	switch {
	case err != nil:
		o.Outcome = refusal.Of(err).Code
		return o
	case f.Previewed == nil:
		o.Outcome = "older-hosts"
		return o
	}
	p := f.Previewed
	o.Leader, o.OpenTokens, o.Ready, o.TeamReady, o.Leased = p.Leader, p.OpenTokens, p.Ready, p.TeamReady, p.Leased
	o.Outcome = joboutlook.Accepted
	if !p.Accepted {
		o.Outcome = codeTooManyTokens
	}
	return o
}
