package ledger

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
)

// FuzzApply guards against commands that make the ledger panic or its counts, queues and leases disagree. It applies
// arbitrary bytes after a job was accepted.
func FuzzApply(f *testing.F) {
	for _, c := range []*entry.Command{
		{Kind: &entry.Command_Take{Take: &entry.Take{Holder: "h", Sequence: 1, Wants: []*entry.Want{{Target: "m", Count: 2}}}}},
		takeByDeadline("h", 1, 2, 7),
		{Kind: &entry.Command_Finish{Finish: &entry.Finish{Holder: "h", Outcomes: []*entry.Outcome{complete(1)}}}},
		{Kind: &entry.Command_Chunk{Chunk: &entry.Chunk{File: "file-j", Data: []byte("a\n")}}},
		{Kind: &entry.Command_Accept{Accept: &entry.Accept{Job: "k", Team: "t", File: "file-j"}}},
		{Kind: &entry.Command_Cancel{Cancel: &entry.Cancel{Job: "j", Team: "t"}}},
	} {
		m, err := proto.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(m, m)
	}
	f.Fuzz(func(t *testing.T, x, y []byte) {
		is := is.New(t)
		b := newHarness(t)
		b.job("j", "t", 3, false)
		b.take("g", 1, 1)
		b.ledger.Apply(b.index+1, x)
		b.ledger.Apply(b.index+2, y)
		is.NoErr(b.ledger.Check())
	})
}

// FuzzRestore guards against corrupt snapshots that make Restore panic or are accepted as a consistent ledger.
func FuzzRestore(f *testing.F) {
	b := newHarness(f)
	b.job("j", "t", 3, true)
	b.take("h", 1, 2)
	w := &bytes.Buffer{}
	if err := b.ledger.Snapshot(w); err != nil {
		f.Fatal(err)
	}
	f.Add(w.Bytes())
	f.Fuzz(func(t *testing.T, x []byte) {
		c := newHarness(t)
		if c.ledger.Restore(bytes.NewReader(x)) == nil {
			is.New(t).NoErr(c.ledger.Check())
		}
	})
}
