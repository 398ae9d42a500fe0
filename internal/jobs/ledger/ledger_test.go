package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/filestore"
)

// harness applies commands to one ledger.
type harness struct {
	ledger *Ledger
	store  *filestore.Store
	// replica, if set, applies the same commands and must give the same answers.
	replica *Ledger
	index   uint64
	term    uint64
	now     time.Duration
	bytes   int
}

func newHarness(t testing.TB) *harness {
	f, err := filestore.NewStore(t.TempDir())
	is.New(t).NoErr(err)
	t.Cleanup(f.Close)
	return &harness{ledger: NewLedger(f), store: f, term: 1, now: time.Hour}
}

func (b *harness) apply(c *entry.Command) *entry.Answer {
	b.index++
	c.Term = b.term
	c.Now = int64(b.now)
	m, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	b.bytes += len(m)
	a := &entry.Answer{}
	r := b.ledger.Apply(b.index, m)
	if err := proto.Unmarshal(r, a); err != nil {
		panic(err)
	}
	if b.replica != nil && !bytes.Equal(b.replica.Apply(b.index, m), r) {
		panic("two replicas answer differently")
	}
	return a
}

func (b *harness) begin(id, team string, limit int64) *entry.Answer {
	return b.apply(&entry.Command{Kind: &entry.Command_Begin{Begin: &entry.Begin{File: id, Team: team, Limit: limit}}})
}

func (b *harness) chunk(id string, offset int64, data string) *entry.Answer {
	c := &entry.Chunk{File: id, Offset: offset, Data: []byte(data)}
	return b.apply(&entry.Command{Kind: &entry.Command_Chunk{Chunk: c}})
}

func (b *harness) seal(id string, size int64) *entry.Answer {
	return b.apply(&entry.Command{Kind: &entry.Command_Seal{Seal: &entry.Seal{File: id, Bytes: size}}})
}

func (b *harness) accept(id, team, file string, repeatable bool) *entry.Answer {
	a := &entry.Accept{
		Job: id, Team: team, File: file, Target: "m", Repeatable: repeatable,
		WindowNanoseconds: int64(24 * time.Hour), KeepNanoseconds: int64(7 * 24 * time.Hour),
	}
	return b.apply(&entry.Command{Kind: &entry.Command_Accept{Accept: a}})
}

func (b *harness) take(holder string, sequence uint64, n uint32) []*entry.Lease {
	k := &entry.Take{
		Holder: holder, Sequence: sequence, LeaseNanoseconds: int64(4 * time.Second),
		Wants: []*entry.Want{{Target: "m", Count: n}},
	}
	return b.apply(&entry.Command{Kind: &entry.Command_Take{Take: k}}).GetTaken().GetLeases()
}

func (b *harness) finish(holder string, o ...*entry.Outcome) *entry.Answer {
	return b.apply(&entry.Command{Kind: &entry.Command_Finish{Finish: &entry.Finish{Holder: holder, Outcomes: o}}})
}

func (b *harness) sweep() {
	b.apply(&entry.Command{Kind: &entry.Command_Sweep{Sweep: &entry.Sweep{}}})
}

// job stores a file of n lines for a team and accepts it as a job.
func (b *harness) job(id, team string, n int, repeatable bool) {
	var d []byte
	for i := range n {
		d = fmt.Appendf(d, `{"custom_id":"c%d","body":{"model":"m","prompt":"a prompt of a common length"}}`+"\n", i)
	}
	b.begin("file-"+id, team, 0)
	o := 0
	for o < len(d) {
		e := min(o+512<<10, len(d))
		e = o + bytes.LastIndexByte(d[o:e], '\n') + 1
		b.chunk("file-"+id, int64(o), string(d[o:e]))
		o = e
	}
	b.seal("file-"+id, int64(len(d)))
	b.accept(id, team, "file-"+id, repeatable)
}

func complete(fence uint64) *entry.Outcome {
	return &entry.Outcome{Fence: fence, Result: &entry.Result{Status: 200, Body: []byte(`{"answer":"done"}`)}}
}

func TestChunksAreIdempotentAndInOrder(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.begin("f", "t", 0)
	is.Equal(b.chunk("f", 0, "a\nb\n").GetFile().GetLines(), uint32(2))
	is.Equal(b.chunk("f", 0, "a\nb\n").GetFile().GetLines(), uint32(2))
	is.Equal(b.chunk("f", 6, "c\n").GetRefused().GetCode(), "out-of-order")
	is.Equal(b.chunk("f", 4, "c").GetRefused().GetCode(), "broken-line")
	is.Equal(b.chunk("f", 4, "c\n").GetFile().GetLines(), uint32(3))
	is.Equal(b.seal("f", 5).GetRefused().GetCode(), "out-of-order")
	is.True(b.seal("f", 6).GetFile().GetSealed())
	c, err := b.ledger.Content("f", 2, 100)
	is.NoErr(err)
	is.Equal(string(c), "b\nc\n")
	is.Equal(b.begin("../f", "t", 0).GetRefused().GetCode(), "bad-id")
}

func TestQuotaCountsFilesAndResults(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("j", "t", 2, true)
	used := b.ledger.StoredBytes("t")
	l := b.take("h", 1, 1)
	b.finish("h", complete(l[0].Fence))
	is.True(b.ledger.StoredBytes("t") > used)
	is.Equal(b.begin("g", "t", b.ledger.StoredBytes("t")).GetRefused().GetCode(), "quota-exceeded")
	b.begin("g", "t", b.ledger.StoredBytes("t")+3)
	is.Equal(b.chunk("g", 0, "abc\n").GetRefused().GetCode(), "quota-exceeded")
	is.Equal(b.chunk("g", 0, "ab\n").GetRefused(), nil)
}

// An expired lease and its successor may both report an outcome; only that of the successor counts, and once.
func TestStaleFenceIsDropped(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("j", "t", 1, true)
	old := b.take("h", 1, 1)[0]
	b.now += 5 * time.Second
	next := b.take("i", 1, 1)[0]
	is.Equal(next.Index, old.Index)
	is.True(next.Fence > old.Fence)
	is.Equal(b.finish("h", complete(old.Fence)).GetDropped(), []uint64{old.Fence})
	is.Equal(len(b.finish("i", complete(next.Fence)).GetDropped()), 0)
	is.Equal(len(b.finish("i", complete(next.Fence)).GetDropped()), 1)
	j, err := b.ledger.Job("j")
	is.NoErr(err)
	is.Equal(j.State, jobCompleted)
	is.Equal(j.Completed, uint32(1))
}

// A team with more jobs must not get more items than another team.
func TestTeamsTakeTurns(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("a", "large", 1000, true)
	b.job("b", "large", 1000, true)
	b.job("c", "small", 1000, true)
	n := map[string]int{}
	for _, l := range b.take("h", 1, 160) {
		n[l.Team]++
	}
	is.Equal(n["large"], 80)
	is.Equal(n["small"], 80)
}

// A yielded item must not use up its attempts; a failed attempt must wait for the retry delay.
func TestYieldDoesNotCountAsAttempt(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("j", "t", 1, true)
	for n := range uint64(20) {
		l := b.take("h", n+1, 1)
		is.Equal(len(l), 1)
		b.finish("h", &entry.Outcome{Fence: l[0].Fence, Kind: entry.Outcome_YIELD})
	}
	for n := range uint64(defaultAttempts) {
		l := b.take("h", n+21, 1)
		is.Equal(l[0].Attempt, uint32(n))
		b.finish("h", &entry.Outcome{Fence: l[0].Fence, Kind: entry.Outcome_RETRY})
		is.Equal(len(b.take("h", n+21, 1)), 0) // the next attempt is deferred
		b.now += retryDelay
	}
	j, err := b.ledger.Job("j")
	is.NoErr(err)
	is.Equal(j.Failed, uint32(1))
	is.Equal(j.State, jobCompleted)
}

func TestWindowAndRetention(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("j", "t", 3, true)
	l := b.take("h", 1, 1)
	b.finish("h", complete(l[0].Fence))
	b.apply(&entry.Command{Kind: &entry.Command_Discard{Discard: &entry.Discard{File: "file-j", Team: "t"}}})
	b.now += 25 * time.Hour
	is.True(b.ledger.SweepDue(int64(b.now)))
	b.sweep()
	j, err := b.ledger.Job("j")
	is.NoErr(err)
	is.Equal(j.State, jobExpired)
	is.Equal(j.Cancelled, uint32(2))
	_, r, err := b.ledger.Result("j", 2)
	is.NoErr(err)
	is.Equal(r.Code, "cancelled")
	b.now += 7 * 24 * time.Hour
	b.sweep()
	_, err = b.ledger.Job("j")
	is.Equal(err, ErrNotFound)
	is.Equal(b.ledger.StoredBytes("t"), int64(0))
	is.True(b.ledger.Empty())
	n, err := b.store.Names()
	is.NoErr(err)
	is.Equal(len(n), 0)
}

// A snapshot may be cut off at any byte; no prefix may pass for a whole one.
func TestRestoreRejectsTruncatedSnapshot(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("j", "t", 3, true)
	b.take("h", 1, 2)
	w := &bytes.Buffer{}
	is.NoErr(b.ledger.Snapshot(w))
	whole := w.Bytes()
	for n := range whole {
		c := newHarness(t)
		is.True(c.ledger.Restore(bytes.NewReader(whole[:n])) != nil)
	}
	c := newHarness(t)
	is.NoErr(c.ledger.Restore(bytes.NewReader(whole)))
	j, err := c.ledger.Job("j")
	is.NoErr(err)
	is.Equal(j.Leased, uint32(2))
}
