package batch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/inlineitem"
	"siskinrun/internal/data/inlinejob"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/data/joboutlook"
	"siskinrun/internal/data/route"
)

// TestExplainAsksTheGroupThatWouldKeepTheJob guards against an explanation by another group, or with another limit or window,
// than those of the job, and against one that hides that the leader could not be asked.
func TestExplainAsksTheGroupThatWouldKeepTheJob(t *testing.T) {
	is := is.New(t)
	control, _, b := newHosts(t)
	r := route.Route{JobTokens: 400, JobTarget: duration.Duration(18 * time.Second)}
	o := b.Explain(t.Context(), "large", "r", r, 400)
	is.Equal(o, joboutlook.Outlook{
		Group: b.GroupOf("large"), Outcome: joboutlook.Accepted, Tokens: 400, TokenLimit: 400, Target: r.JobTarget, Window: duration.Duration(time.Minute),
	})
	j := inlinejob.Job{ID: "j", Team: "large", Route: "r", RouteConfig: r, Items: []inlineitem.Item{{Line: itemline.Line{CustomID: "i"}, MaxTokens: 300}}}
	is.NoErr(b.Submit(t.Context(), j))
	o = b.Explain(t.Context(), "large", "r", r, 200)
	is.Equal(o.Outcome, codeTooManyTokens)
	is.Equal(o.OpenTokens, int64(300))
	is.Equal(o.TeamReady, uint64(1))
	j.ID, j.Items[0].MaxTokens = "k", 200
	is.Equal(refusalCode(b.Submit(t.Context(), j)), codeTooManyTokens)
	control.unreachable = true
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	is.Equal(b.Explain(ctx, "large", "r", r, 1).Outcome, "peer-unreachable")
}
