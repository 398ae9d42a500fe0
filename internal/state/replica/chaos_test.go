package replica_test

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/replica"
)

// scheduleFaults injects random faults until the simulation is healed.
func (w *simulation) scheduleFaults() {
	w.schedule(time.Duration(w.random.Int64N(int64(600*time.Millisecond))), func() error {
		if w.faultsOff {
			return nil
		}
		w.scheduleFaults()
		if err := w.checker.logs(); err != nil {
			return err
		}
		return w.injectRandomFault()
	})
}

func (w *simulation) injectRandomFault() error {
	n := w.nodes[w.random.IntN(nodes)]
	switch w.random.IntN(11) {
	case 0, 9:
		w.extraLatency = [nodes][nodes]time.Duration{}
		w.delayReplies(n)
	case 1, 10:
		for i := range nodes {
			w.blocked[n.index()][i] = true
			w.blocked[i][n.index()] = w.random.IntN(2) == 0
		}
	case 2, 3:
		if n.up {
			n.disk.opsUntilCrash = w.random.IntN(12)
		}
	case 4:
		if n.up {
			return n.onError(errCrash)
		}
	case 5:
		if n.up {
			to := w.nodes[w.random.IntN(nodes)].self
			_ = n.replica.Transfer(n.clock(), to)
			if w.random.IntN(3) == 0 {
				n.replica.DeferElections(n.clock())
			}
			return n.execute()
		}
	case 6:
		return w.replaceDisk(n)
	default:
		w.blocked = [nodes][nodes]bool{}
		w.extraLatency = [nodes][nodes]time.Duration{}
	}
	return nil
}

// maybeCrashNewLeader crashes some newly elected leaders, half of them with all their messages blocked.
func (w *simulation) maybeCrashNewLeader(n *node) {
	if w.faultsOff || w.random.IntN(3) != 0 {
		return
	}
	muted := w.random.IntN(2) == 0
	if muted {
		w.blockOutgoing(n, true)
	}
	w.schedule(time.Duration(w.random.Int64N(int64(25*time.Millisecond))), func() error {
		if muted {
			w.blockOutgoing(n, false)
		}
		if w.faultsOff || !n.up {
			return nil
		}
		return n.onError(errCrash)
	})
}

// blockOutgoing drops everything that a host sends, or stops doing so.
func (w *simulation) blockOutgoing(n *node, blocked bool) {
	for i := range nodes {
		w.blocked[n.index()][i] = blocked
	}
}

// delayReplies delays the replies to a host and later blocks what it sends, so that a lease counted from their arrival is too long.
func (w *simulation) delayReplies(n *node) {
	for i := range nodes {
		w.extraLatency[i][n.index()] = 300 * time.Millisecond
	}
	w.schedule(time.Duration(w.random.Int64N(int64(500*time.Millisecond))), func() error {
		if !w.faultsOff {
			w.blockOutgoing(n, true)
		}
		return nil
	})
}

// replaceDisk destroys a host's disk and starts the host on an empty one, unless another lost disk has not been replaced yet.
func (w *simulation) replaceDisk(n *node) error {
	if w.lostMember != nil || w.random.IntN(2) == 0 {
		return nil
	}
	old := n.self
	if n.up {
		n.crash()
	}
	f := w.newNode(n.index())
	f.syncTime = w.randomSyncTime()
	w.nodes[n.index()] = f
	w.lostMember = &old
	w.schedule(100*time.Millisecond, f.restart)
	w.scheduleReplacement(f)
	return nil
}

// scheduleReplacement replaces the lost member by the new one, step by step, as an operator does.
func (w *simulation) scheduleReplacement(f *node) {
	w.schedule(50*time.Millisecond, func() error {
		for _, n := range w.nodes {
			if !n.up || !n.replica.Leading() || w.lostMember == nil {
				continue
			}
			done, err := w.replaceStep(n, f)
			if err != nil {
				return err
			}
			if done {
				w.lostMember = nil
				w.replacements++
				if !w.faultsOff && w.random.IntN(2) == 0 {
					return w.replaceDisk(w.nodes[w.random.IntN(nodes)])
				}
				return nil
			}
		}
		if w.lostMember != nil {
			w.scheduleReplacement(f)
		}
		return nil
	})
}

func (w *simulation) replaceStep(n, f *node) (bool, error) {
	r := n.replica
	q := r.Members()
	var err error
	switch {
	case f.self == *w.lostMember:
		return true, nil
	case !q.HasVoter(f.self) && !q.HasLearner(f.self):
		err = r.AddLearner(f.self)
	case q.HasLearner(f.self):
		err = r.Promote(f.self)
	case q.HasVoter(*w.lostMember):
		err = r.Remove(*w.lostMember)
	default:
		return r.MembersCommitted(), nil
	}
	if err != nil && !errors.Is(err, replica.ErrBusy) && !errors.Is(err, replica.ErrBehind) && !errors.Is(err, replica.ErrNotLeader) {
		return false, err
	}
	return false, n.execute()
}

// scheduleLoad keeps proposing and reading on random hosts.
func (w *simulation) scheduleLoad() {
	w.schedule(time.Duration(w.random.Int64N(int64(60*time.Millisecond))), func() error {
		if w.now > faultySpan+healedSpan-time.Second {
			return nil
		}
		w.scheduleLoad()
		n := w.nodes[w.random.IntN(nodes)]
		if !n.up {
			return nil
		}
		if w.random.IntN(3) == 0 {
			w.nextRead++
			id := w.nextRead*nodes + uint64(n.index())
			w.pendingReads[id] = w.checker.acked
			n.replica.Read(n.clock(), id)
			return n.execute()
		}
		if i, t, err := n.replica.Propose(fmt.Appendf(nil, "%s %d", n.self, w.seq)); err == nil {
			n.proposed[i] = t
		}
		return n.execute()
	})
}

// heal ends all faults; every acknowledged entry must then reach every host.
func (w *simulation) heal() {
	w.faultsOff = true
	w.blocked = [nodes][nodes]bool{}
	w.extraLatency = [nodes][nodes]time.Duration{}
	w.healedIndex = w.checker.acked + 1
	for _, n := range w.nodes {
		n.disk.opsUntilCrash = -1
		n.syncTime = min(n.syncTime, healedSyncTime)
		w.schedule(2*time.Second, n.restart)
	}
}
