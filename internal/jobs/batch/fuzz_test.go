package batch

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
)

// FuzzHandlers guards against bytes from another host that make a handler panic or a ledger inconsistent.
func FuzzHandlers(f *testing.F) {
	for _, m := range []proto.Message{
		&entry.Ask{Group: 1, Command: &entry.Command{Kind: &entry.Command_Take{Take: &entry.Take{Holder: "h", Sequence: 1}}}},
		&entry.Query{Group: 1, Kind: &entry.Query_Content{Content: &entry.Extent{File: "file-1-a", Offset: 9}}},
		&entry.Query{Group: 1, Kind: &entry.Query_Results{Results: &entry.Page{Job: "batch-1-a", From: 7}}},
		&entry.Claim{Group: 1, Name: "u", Holder: "h", LengthNanoseconds: -1},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, x []byte) {
		c, b, _ := newHosts(t)
		for _, k := range []*entry.Command{
			{Kind: &entry.Command_Begin{Begin: &entry.Begin{File: "file-1-a", Team: "t"}}},
			{Kind: &entry.Command_Chunk{Chunk: &entry.Chunk{File: "file-1-a", Data: []byte("a\nb\n")}}},
			{Kind: &entry.Command_Seal{Seal: &entry.Seal{File: "file-1-a", Bytes: 4}}},
			{Kind: &entry.Command_Accept{Accept: &entry.Accept{Job: "batch-1-a", Team: "t", File: "file-1-a", Target: "m"}}},
		} {
			if _, err := b.propose(t.Context(), 1, k); err != nil {
				t.Fatal(err)
			}
		}
		for _, h := range c.handlers {
			_, _ = h(t.Context(), "peer", x)
		}
		if err := c.ledgers[1].Check(); err != nil {
			t.Fatal(err)
		}
	})
}
