package executor

import (
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/matryer/is"
)

// recordedDecisions is the hash of what TestRecordedLoadGetsTheSameDecisions starts and stops, computed on the code before runs
// were preempted by what they have done.
const recordedDecisions = uint64(5142975954707583249)

// TestRecordedLoadGetsTheSameDecisions guards against a change of what starts and stops, and when, on upstreams that don't run
// items whole.
func TestRecordedLoadGetsTheSameDecisions(t *testing.T) {
	is := is.New(t)
	h := fnv.New64a()
	b := newBurstLoad()
	b.decided = func(verb, host string, t *task) {
		fmt.Fprintln(h, b.now, host, verb, t.item.Job, t.item.Index, t.item.NextEvent)
	}
	b.run()
	is.Equal(h.Sum64(), recordedDecisions)
}
