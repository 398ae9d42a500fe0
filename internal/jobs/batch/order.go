package batch

import "siskinrun/internal/jobs/entry"

// groupTarget is a target of a group.
type groupTarget struct {
	group  uint32
	target string
}

// setOrder says in a request for items whether the ledger leases them by deadline. It replaces what the sender said, since only
// the leader knows the members of its group.
func (b *Service) setOrder(g uint32, t *entry.Take) {
	for _, w := range t.Wants {
		w.CompletionNanoseconds, w.Starts = 0, 0
		if b.CompletionTime == nil {
			continue
		}
		d := b.CompletionTime(g, w.Target)
		if d <= 0 {
			continue
		}
		w.CompletionNanoseconds = int64(d)
		w.Starts = b.addStarts(groupTarget{g, w.Target}, w.Count)
	}
}

// addStarts counts items that are about to be leased and returns the count before. A request that gets fewer items than it asks
// for leaves none waiting, so the requested items are counted.
func (b *Service) addStarts(k groupTarget, n uint32) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.starts[k]
	b.starts[k] = c + uint64(n)
	return c
}
