package replica_test

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/storage"
)

// writeLog writes a log with the given terms to a host's disk before the host starts.
func (w *simulation) writeLog(i int, term uint64, terms ...uint64) error {
	n := w.nodes[i]
	s := &storage.Storage{Disk: n.disk, Members: w.initialMembers}
	if _, err := s.Open(); err != nil {
		return err
	}
	e := effect.Effect{Ballot: &ballot.Ballot{Term: term}}
	for p, t := range terms {
		e.Entries = append(e.Entries, logentry.Entry{Index: uint64(p + 1), Term: t, Data: fmt.Append(nil, t)})
	}
	return s.Write([]effect.Effect{e})
}

// isolate blocks or unblocks all links of a host.
func (w *simulation) isolate(i int, blocked bool) {
	for j := range nodes {
		w.blocked[i][j] = blocked
		w.blocked[j][i] = blocked
	}
}

// runOldTermCommit replicates an entry of an earlier term to a majority and then lets a host without it win the election.
func (w *simulation) runOldTermCommit() error {
	w.faultsOff = true
	w.batch = 1
	for i, terms := range [][]uint64{{1, 2}, {1}, {1, 3}} {
		if err := w.writeLog(i, 3, terms...); err != nil {
			return err
		}
		if err := w.nodes[i].start(); err != nil {
			return err
		}
		w.scheduleTicks(i)
	}
	w.isolate(2, true)
	for w.nodes[1].replica.LastIndex() < 2 {
		if err := w.step(); err != nil {
			return err
		}
	}
	for end := w.now + 4*time.Millisecond; w.now < end && w.nodes[1].replica.LastIndex() < 3 && w.nodes[0].applied < 2; {
		if err := w.step(); err != nil {
			return err
		}
	}
	w.isolate(2, false)
	w.isolate(0, true)
	if err := w.runUntil(w.now + 3*time.Second); err != nil {
		return err
	}
	w.isolate(0, false)
	return w.runUntil(w.now + 3*time.Second)
}

// step runs the next event.
func (w *simulation) step() error {
	e := heap.Pop(&w.queue).(event)
	w.now = e.at
	return e.do()
}

func TestEarlierTermsAreNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	caught := 0
	for s := range uint64(50) {
		is.NoErr(newSimulation(s, "").runOldTermCommit())
		if newSimulation(s, "commit an earlier term by counting").runOldTermCommit() != nil {
			caught++
		}
	}
	t.Logf("%d of 50 runs catch the fault", caught)
	is.True(caught >= 10)
}

// electLeader runs the hosts without faults until one leads.
func (w *simulation) electLeader() (*node, error) {
	w.faultsOff = true
	for i, n := range w.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
		w.scheduleTicks(i)
	}
	if err := w.runUntil(3 * time.Second); err != nil {
		return nil, err
	}
	for _, n := range w.nodes {
		if n.replica.Leading() {
			return n, nil
		}
	}
	return nil, errCrash
}

func TestRejoiningHostDoesNotDisruptTheLeader(t *testing.T) {
	is := is.New(t)
	for s := range uint64(20) {
		w := newSimulation(s, "")
		l, err := w.electLeader()
		is.NoErr(err)
		term := l.replica.Term()
		isolated := (l.index() + 1) % nodes
		w.isolate(isolated, true)
		is.NoErr(w.runUntil(w.now + 5*time.Second))
		w.isolate(isolated, false)
		is.NoErr(w.runUntil(w.now + 2*time.Second))
		is.Equal(l.replica.Term(), term)
		is.True(l.replica.Leading())
	}
}

func TestIsolatedLeaderStepsDownAndServesNoRead(t *testing.T) {
	is := is.New(t)
	for s := range uint64(20) {
		w := newSimulation(s, "")
		l, err := w.electLeader()
		is.NoErr(err)
		w.isolate(l.index(), true)
		w.pendingReads[nodes] = 0
		l.replica.Read(l.clock(), nodes)
		is.NoErr(l.execute())
		is.NoErr(w.runUntil(w.now + 700*time.Millisecond))
		is.True(!l.replica.Leading())
		is.True(l.replica.LeaseEnd().IsZero())
		_, asked := w.pendingReads[nodes]
		is.True(!asked)
		is.NoErr(w.runUntil(w.now + 2*time.Second))
		otherLeaders := 0
		for _, n := range w.nodes {
			if n != l && n.replica.Leading() {
				otherLeaders++
			}
		}
		is.Equal(otherLeaders, 1)
	}
}

func TestTransferReleasesTheLeaseFirst(t *testing.T) {
	is := is.New(t)
	for s := range uint64(20) {
		w := newSimulation(s, "")
		l, err := w.electLeader()
		is.NoErr(err)
		to := w.nodes[(l.index()+1)%nodes]
		is.NoErr(l.replica.Transfer(l.clock(), to.self))
		is.True(l.replica.LeaseEnd().IsZero())
		is.NoErr(l.execute())
		is.NoErr(w.runUntil(w.now + 200*time.Millisecond))
		is.True(to.replica.Leading())
		is.True(!to.replica.LeaseEnd().IsZero())
	}
}

func TestLostLeaderIsReplacedQuickly(t *testing.T) {
	is := is.New(t)
	var all []time.Duration
	for s := range uint64(500) {
		w := newSimulation(s, "")
		l, err := w.electLeader()
		is.NoErr(err)
		w.isolate(l.index(), true)
		start := w.now
		for w.leader(l) == nil && w.now < start+10*time.Second {
			is.NoErr(w.step())
		}
		all = append(all, w.now-start)
	}
	slices.Sort(all)
	t.Logf("median %v, 99th percentile %v, longest %v", all[250], all[495], all[499])
	is.True(all[250] < time.Second)
	is.True(all[495] < 2*time.Second)
}

// leader returns a leader with a valid lease other than except, if any.
func (w *simulation) leader(except *node) *node {
	for _, n := range w.nodes {
		if n != except && n.replica.Leading() && n.clock().Before(n.replica.LeaseEnd()) {
			return n
		}
	}
	return nil
}
