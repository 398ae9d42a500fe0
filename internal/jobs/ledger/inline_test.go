package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// submit submits an inline job of n items of 100 tokens each.
func (b *harness) submit(id string, n int, limit int64) *entry.Answer {
	s := &entry.Submit{Job: id, Team: "t", Target: "m", WindowNanoseconds: int64(time.Minute),
		KeepNanoseconds: int64(time.Hour), Attempts: 2, TokenLimit: limit}
	for i := range n {
		s.Names = append(s.Names, fmt.Sprint("i", i))
		s.Lines = append(s.Lines, fmt.Appendf(nil, `{"custom_id":"i%d"}`, i))
		s.Tokens = append(s.Tokens, 100)
	}
	return b.apply(&entry.Command{Kind: &entry.Command_Submit{Submit: s}})
}

func outcome(fence uint64, k entry.Outcome_Kind, status int32, v verdict.Verdict) *entry.Outcome {
	return &entry.Outcome{Fence: fence, Kind: k, Result: &entry.Result{Status: status, Body: []byte("text"), Verdict: uint32(v)}}
}

func TestInlineJobIsAcceptedOnceAndListedInRecordedOrder(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	is.Equal(b.submit("j", 3, 0).GetJob().GetTotal(), uint32(3))
	is.Equal(b.submit("j", 3, 0).GetJob().GetTotal(), uint32(3))
	l := b.take("h", 1, 8)
	is.Equal(len(l), 3)
	b.finish("h", outcome(l[2].Fence, entry.Outcome_COMPLETE, 200, verdict.Ran))
	b.finish("h", outcome(l[0].Fence, entry.Outcome_FAIL, 422, verdict.Ran))
	for _, r := range []*Ledger{b.ledger, restoredCopy(t, b)} {
		a, err := r.InlineResults("j", 0, 1<<20)
		is.NoErr(err)
		is.Equal(len(a), 2)
		is.Equal(a[0].Name, "i2")
		is.True(a[0].Done)
		is.Equal(string(a[0].Output), "text")
		is.Equal(a[1].Name, "i0")
		is.True(!a[1].Done)
		a, err = r.InlineResults("j", 1, 0)
		is.NoErr(err)
		is.Equal(len(a), 1) // at least one
		_, err = r.Input("j", "i0")
		is.Equal(err, ErrNotFound)
		line, err := r.Input("j", "i1")
		is.NoErr(err)
		is.Equal(string(line), `{"custom_id":"i1"}`)
		is.NoErr(r.Check())
	}
}

// restoredCopy returns a new ledger restored from a snapshot.
func restoredCopy(t *testing.T, b *harness) *Ledger {
	t.Helper()
	is := is.New(t)
	var w bytes.Buffer
	is.NoErr(b.ledger.Snapshot(&w))
	c := newHarness(t)
	is.NoErr(c.ledger.Restore(&w))
	return c.ledger
}

func TestTokensOfOpenItemsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	is.Equal(b.submit("a", 3, 400).GetRefused(), nil)
	is.Equal(b.submit("b", 2, 400).GetRefused().GetCode(), "too-many-tokens")
	is.Equal(b.submit("b", 1, 400).GetRefused(), nil)
	l := b.take("h", 1, 1)
	b.finish("h", outcome(l[0].Fence, entry.Outcome_COMPLETE, 200, verdict.Ran))
	is.Equal(b.submit("c", 1, 400).GetRefused(), nil)
	is.Equal(b.submit("d", 1, 400).GetRefused().GetCode(), "too-many-tokens")
	b.apply(&entry.Command{Kind: &entry.Command_Cancel{Cancel: &entry.Cancel{Job: "a", Team: "t"}}})
	is.Equal(b.submit("d", 2, 400).GetRefused(), nil)
	is.Equal(restoredCopy(t, b).openTokens, b.ledger.openTokens)
}

// Attempts without an answer of an upstream must not fail an inline item, however many there are.
func TestOnlyAnswersOfUpstreamsCountAsAttempts(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.submit("j", 1, 0)
	seq := uint64(0)
	next := func() uint64 {
		b.now += 2 * time.Second
		seq++
		l := b.take("h", seq, 1)
		is.Equal(len(l), 1)
		return l[0].Fence
	}
	for range 5 { // runs without an answer do not count
		b.finish("h", outcome(next(), entry.Outcome_RETRY, 0, verdict.MayHaveRun))
	}
	b.finish("h", outcome(next(), entry.Outcome_RETRY, 500, verdict.Ran))
	n, _ := b.ledger.Recorded("j")
	is.Equal(n, uint32(0))
	b.finish("h", outcome(next(), entry.Outcome_RETRY, 500, verdict.Ran))
	n, open := b.ledger.Recorded("j")
	is.Equal(n, uint32(1))
	is.True(!open)
}

// The partial output of an item must reach its next attempt, also after a restore.
func TestProgressIsKeptOverRuns(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.submit("j", 1, 0)
	l := b.take("h", 1, 1)
	o := outcome(l[0].Fence, entry.Outcome_YIELD, 0, verdict.MayHaveRun)
	o.Progress = &entry.Progress{Next: 7, Text: []byte("so far")}
	b.finish("h", o)
	l = b.take("h", 2, 1)
	for _, r := range []*Ledger{b.ledger, restoredCopy(t, b)} {
		e := []*entry.Lease{{Job: "j", Index: l[0].Index}}
		is.NoErr(r.FillInputs(e, 1<<20))
		is.Equal(e[0].Progress.GetNext(), uint64(7))
		is.Equal(string(e[0].Progress.GetText()), "so far")
	}
}

func TestClosedWindowExpiresWaitingItems(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.submit("j", 2, 150*2)
	b.now += 2 * time.Minute
	b.sweep()
	a, err := b.ledger.InlineResults("j", 0, 1<<20)
	is.NoErr(err)
	is.Equal(len(a), 2)
	is.True(!a[0].Done && !a[1].Done)
	is.Equal(len(b.ledger.openTokens), 0)
	is.NoErr(b.ledger.Check())
}
