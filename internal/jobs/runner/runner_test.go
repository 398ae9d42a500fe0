package runner

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/item"
)

// TestCallIDIsUniquePerRun guards against reusing the ID of a preempted run, which its upstream refuses.
func TestCallIDIsUniquePerRun(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, i := range []item.Item{
		{Job: "j", Index: 1, Fence: 2}, {Job: "j", Index: 1, Fence: 2, Preemptions: 1}, {Job: "j", Index: 1, Fence: 2, Preemptions: 2},
		{Job: "j", Index: 1, Fence: 3}, {Job: "j", Index: 2, Fence: 2},
	} {
		seen[callID(i)] = true
	}
	is.Equal(len(seen), 5)
}
