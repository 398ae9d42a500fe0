package replica_test

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/replica"
)

// chaos goes on doing something harmful until the run is healed.
func (w *world) chaos() {
	w.after(time.Duration(w.random.Int64N(int64(600*time.Millisecond))), func() error {
		if w.calm {
			return nil
		}
		w.chaos()
		if err := w.check.logs(); err != nil {
			return err
		}
		return w.harm()
	})
}

func (w *world) harm() error {
	n := w.nodes[w.random.IntN(nodes)]
	switch w.random.IntN(11) {
	case 0, 9:
		w.late = [nodes][nodes]time.Duration{}
		w.delay(n)
	case 1, 10:
		for i := range nodes {
			w.blocked[n.number()][i] = true
			w.blocked[i][n.number()] = w.random.IntN(2) == 0
		}
	case 2, 3:
		if n.up {
			n.disk.fuse = w.random.IntN(12)
		}
	case 4:
		if n.up {
			return n.fell(errCrash)
		}
	case 5:
		if n.up {
			to := w.nodes[w.random.IntN(nodes)].self
			_ = n.replica.Transfer(n.local(), to)
			if w.random.IntN(3) == 0 {
				n.replica.Resign(n.local())
			}
			return n.settle()
		}
	case 6:
		return w.empty(n)
	default:
		w.blocked = [nodes][nodes]bool{}
		w.late = [nodes][nodes]time.Duration{}
	}
	return nil
}

// strike now and then stops a leader that has just been elected, perhaps before anyone hears it.
func (w *world) strike(n *node) {
	if w.calm || w.random.IntN(3) != 0 {
		return
	}
	mute := w.random.IntN(2) == 0
	if mute {
		w.mute(n, true)
	}
	w.after(time.Duration(w.random.Int64N(int64(25*time.Millisecond))), func() error {
		if mute {
			w.mute(n, false)
		}
		if w.calm || !n.up {
			return nil
		}
		return n.fell(errCrash)
	})
}

// mute loses everything that a host sends.
func (w *world) mute(n *node, lost bool) {
	for i := range nodes {
		w.blocked[n.number()][i] = lost
	}
}

// delay makes a leader's answers late and then cuts it off from those who still answer.
func (w *world) delay(n *node) {
	for i := range nodes {
		w.late[i][n.number()] = 300 * time.Millisecond
	}
	w.after(time.Duration(w.random.Int64N(int64(500*time.Millisecond))), func() error {
		if !w.calm {
			w.mute(n, true)
		}
		return nil
	})
}

// empty takes a host's disk away for good, unless another loss is not repaired yet.
func (w *world) empty(n *node) error {
	if w.lost != nil || w.random.IntN(2) == 0 {
		return nil
	}
	old := n.self
	if n.up {
		n.crash()
	}
	f := w.fresh(n.number())
	w.nodes[n.number()] = f
	w.lost = &old
	w.after(100*time.Millisecond, f.restart)
	w.repair(f)
	return nil
}

// repair puts the new member in the place of the old one, as operators do.
func (w *world) repair(f *node) {
	w.after(50*time.Millisecond, func() error {
		for _, n := range w.nodes {
			if !n.up || !n.replica.Leading() || w.lost == nil {
				continue
			}
			done, err := w.change(n, f)
			if err != nil {
				return err
			}
			if done {
				w.lost = nil
				w.changes++
				if !w.calm && w.random.IntN(2) == 0 {
					return w.empty(w.nodes[w.random.IntN(nodes)])
				}
				return nil
			}
		}
		if w.lost != nil {
			w.repair(f)
		}
		return nil
	})
}

func (w *world) change(n, f *node) (bool, error) {
	r := n.replica
	q := r.Quorum()
	var err error
	switch {
	case f.self == *w.lost:
		return true, nil
	case !q.HasVoter(f.self) && !q.HasLearner(f.self):
		err = r.AddLearner(f.self)
	case q.HasLearner(f.self):
		err = r.Promote(f.self)
	case q.HasVoter(*w.lost):
		err = r.Remove(*w.lost)
	default:
		return r.Settled(), nil
	}
	if err != nil && !errors.Is(err, replica.ErrBusy) && !errors.Is(err, replica.ErrBehind) && !errors.Is(err, replica.ErrNotLeader) {
		return false, err
	}
	return false, n.settle()
}

// load goes on proposing and reading.
func (w *world) load() {
	w.after(time.Duration(w.random.Int64N(int64(60*time.Millisecond))), func() error {
		if w.now > faultySpan+healedSpan-time.Second {
			return nil
		}
		w.load()
		n := w.nodes[w.random.IntN(nodes)]
		if !n.up {
			return nil
		}
		if w.random.IntN(3) == 0 {
			w.nextRead++
			id := w.nextRead*nodes + uint64(n.number())
			w.reads[id] = w.check.acked
			n.replica.Read(n.local(), id)
			return n.settle()
		}
		if i, t, err := n.replica.Propose(fmt.Appendf(nil, "%s %d", n.self, w.seq)); err == nil {
			n.waiters[i] = t
		}
		return n.settle()
	})
}

// heal ends all harm, after which everything acknowledged must reach every host.
func (w *world) heal() {
	w.calm = true
	w.blocked = [nodes][nodes]bool{}
	w.late = [nodes][nodes]time.Duration{}
	w.healed = w.check.acked + 1
	for _, n := range w.nodes {
		n.disk.fuse = -1
		w.after(2*time.Second, n.restart)
	}
}
