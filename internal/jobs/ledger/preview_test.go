package ledger

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// TestPreviewAgreesWithSubmitAndChangesNothing guards against a preview by another rule than that of acceptance, against wrong
// counts of what waits and runs, and against one that leaves a trace in a snapshot.
func TestPreviewAgreesWithSubmitAndChangesNothing(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	preview := func(items int64) *entry.Previewed {
		var before, after bytes.Buffer
		is.NoErr(b.ledger.Snapshot(&before))
		p := b.ledger.Preview(&entry.Preview{Team: "t", Target: "m", Tokens: 100 * items, TokenLimit: 400})
		is.NoErr(b.ledger.Snapshot(&after))
		is.Equal(before.Bytes(), after.Bytes())
		return p
	}
	counts := func(p *entry.Previewed) []uint64 {
		return []uint64{uint64(p.OpenTokens), p.Ready, p.TeamReady, p.Leased}
	}
	is.True(preview(4).Accepted)
	is.True(!preview(5).Accepted)
	is.Equal(b.submit("a", 3, 400).GetRefused(), nil)
	is.True(!preview(2).Accepted)
	is.Equal(b.submit("b", 2, 400).GetRefused().GetCode(), "too-many-tokens")
	is.True(preview(1).Accepted)
	is.Equal(counts(preview(1)), []uint64{300, 3, 3, 0})
	l := b.take("h", 1, 2)
	is.Equal(counts(preview(1)), []uint64{300, 1, 1, 2})
	b.finish("h", outcome(l[0].Fence, entry.Outcome_COMPLETE, 200, verdict.Ran), outcome(l[1].Fence, entry.Outcome_RETRY, 503, verdict.NotRun))
	is.Equal(counts(preview(1)), []uint64{200, 2, 2, 0}) // the item that is tried again waits too
	other := b.ledger.Preview(&entry.Preview{Team: "u", Target: "m", Tokens: 1000})
	is.Equal(counts(other), []uint64{0, 2, 0, 0})
	is.True(other.Accepted) // no limit
}
