package replica_test

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/replica"
)

// checker checks the invariants that span all hosts.
type checker struct {
	sim         *simulation
	leaders     map[uint64]string
	terms       map[uint64]leadership
	stateHashes map[uint64]uint64
	acked       uint64
}

// leadership is a time in which a host leads, which a restart or a step down ends.
type leadership struct {
	replica *replica.Replica
	since   time.Time
}

// stateHash checks that every host has the same state after the entry at index.
func (c *checker) stateHash(n *node, index uint64) error {
	s, ok := c.stateHashes[index]
	if ok && s != n.stateHash {
		return errors.Newf("%s has another state after entry %d than another host", n.self, index)
	}
	c.stateHashes[index] = n.stateHash
	return nil
}

// read checks that a read sees everything acknowledged before it was requested.
func (c *checker) read(r effect.Read) error {
	acked, ok := c.sim.pendingReads[r.ID]
	delete(c.sim.pendingReads, r.ID)
	if ok && r.Index < acked {
		return errors.Newf("a read of %d misses what was acknowledged at %d", r.Index, acked)
	}
	return nil
}

// node checks that a term has one leader, which leads it once, and that the lease has one holder.
func (c *checker) node(n *node) error {
	if !n.up || n.replica.Leader() != n.self {
		return nil
	}
	t := n.replica.Term()
	if l, ok := c.leaders[t]; ok && l != n.self.String() {
		return errors.Newf("term %d has the leaders %s and %s", t, l, n.self)
	}
	if c.leaders[t] == "" {
		c.leaders[t] = n.self.String()
		c.terms[t] = leadership{n.replica, n.replica.LeaderSince()}
		c.sim.maybeCrashNewLeader(n)
	}
	if c.terms[t] != (leadership{n.replica, n.replica.LeaderSince()}) {
		return errors.Newf("%s leads term %d a second time", n.self, t)
	}
	return c.lease()
}

func (c *checker) lease() error {
	held := ""
	for _, n := range c.sim.nodes {
		if !n.up || !n.clock().Before(n.replica.LeaseEnd()) {
			continue
		}
		if held != "" {
			return errors.Newf("%s and %s hold the lease", held, n.self)
		}
		held = n.self.String()
	}
	return nil
}

// logs checks the log matching property: logs that agree at an index agree at all lower indexes.
func (c *checker) logs() error {
	for i, a := range c.sim.nodes {
		for _, b := range c.sim.nodes[:i] {
			if !a.up || !b.up {
				continue
			}
			agreed := false
			for p := min(a.replica.LastIndex(), b.replica.LastIndex()); p > 0; p-- {
				s, inA := a.replica.TermAt(p)
				t, inB := b.replica.TermAt(p)
				if !inA || !inB {
					break
				}
				if agreed && s != t {
					return errors.Newf("the logs of %s and %s differ at %d and agree later", a.self, b.self, p)
				}
				agreed = agreed || s == t
			}
		}
	}
	return nil
}

// final checks after healing that every voter has applied what was acknowledged.
func (c *checker) final() error {
	for _, n := range c.sim.nodes {
		if !n.up {
			return errors.Newf("%s did not restart", n.self)
		}
		if !n.replica.Members().HasVoter(n.self) {
			continue
		}
		if n.applied < c.acked || n.applied < c.sim.healedIndex {
			return errors.Newf("%s has applied %d, and %d was acknowledged", n.self, n.applied, max(c.acked, c.sim.healedIndex))
		}
	}
	return c.logs()
}
