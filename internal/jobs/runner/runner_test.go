package runner

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/item"
)

// TestEachRunIsACallOfItsOwn holds that no run bears the ID of one that was cancelled to make room.
func TestEachRunIsACallOfItsOwn(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, i := range []item.Item{
		{Job: "j", Index: 1, Fence: 2}, {Job: "j", Index: 1, Fence: 2, Runs: 1}, {Job: "j", Index: 1, Fence: 2, Runs: 2},
		{Job: "j", Index: 1, Fence: 3}, {Job: "j", Index: 2, Fence: 2},
	} {
		seen[callID(i)] = true
	}
	is.Equal(len(seen), 5)
}
