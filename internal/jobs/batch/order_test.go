package batch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
)

// TestLeaderDecidesTheOrderOfItems guards against commands in the log by which items are leased by deadline although the leader did
// not say so, and against counts of starts that are shared by targets.
func TestLeaderDecidesTheOrderOfItems(t *testing.T) {
	is := is.New(t)
	c, b, _ := newHosts(t)
	var logged *entry.Take
	b.Proposer = recorder{c, func(k *entry.Command) { logged = k.GetTake() }}
	take := func(sequence uint64) {
		m, err := proto.Marshal(&entry.Ask{Group: 1, Command: &entry.Command{Kind: &entry.Command_Take{Take: &entry.Take{
			Holder: "h", Sequence: sequence, LeaseNanoseconds: int64(time.Hour),
			Wants: []*entry.Want{{Target: "m", Count: 3, CompletionNanoseconds: 5, Starts: 7}, {Target: "n", Count: 2, CompletionNanoseconds: 5}},
		}}}})
		is.NoErr(err)
		_, err = c.handlers[methodCommand](t.Context(), "", m)
		is.NoErr(err)
	}
	take(1)
	is.Equal(logged.Wants[0].CompletionNanoseconds, int64(0))
	is.Equal(logged.Wants[0].Starts, uint64(0))
	b.CompletionTime = func(_ uint32, target string) time.Duration {
		if target == "m" {
			return time.Minute
		}
		return 0
	}
	take(2)
	take(3)
	is.Equal(logged.Wants[0].CompletionNanoseconds, int64(time.Minute))
	is.Equal(logged.Wants[0].Starts, uint64(3))
	is.Equal(logged.Wants[1].CompletionNanoseconds, int64(0))
	is.Equal(logged.Wants[1].Starts, uint64(0))
}

// recorder passes on the commands that are proposed.
type recorder struct {
	*fakeControl
	seen func(*entry.Command)
}

func (r recorder) Propose(ctx context.Context, g uint32, b []byte) ([]byte, error) {
	c := &entry.Command{}
	if err := proto.Unmarshal(b, c); err != nil {
		return nil, err
	}
	r.seen(c)
	return r.fakeControl.Propose(ctx, g, b)
}
