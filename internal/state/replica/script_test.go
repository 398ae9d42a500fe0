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

// hold puts a log of the terms given on the disk of a host before it starts.
func (w *world) hold(i int, term uint64, terms ...uint64) error {
	n := w.nodes[i]
	s := &storage.Storage{Disk: n.disk, Quorum: w.founders}
	if _, err := s.Open(); err != nil {
		return err
	}
	e := effect.Effect{Ballot: &ballot.Ballot{Term: term}}
	for p, t := range terms {
		e.Entries = append(e.Entries, logentry.Entry{Index: uint64(p + 1), Term: t, Data: fmt.Append(nil, t)})
	}
	return s.Write([]effect.Effect{e})
}

// cut blocks or frees all ways of a host.
func (w *world) cut(i int, blocked bool) {
	for j := range nodes {
		w.blocked[i][j] = blocked
		w.blocked[j][i] = blocked
	}
}

// oldTerm lets a leader count the copies of an entry of an earlier term and then lose to a host without it.
func (w *world) oldTerm() error {
	w.calm = true
	w.batch = 1
	for i, terms := range [][]uint64{{1, 2}, {1}, {1, 3}} {
		if err := w.hold(i, 3, terms...); err != nil {
			return err
		}
		if err := w.nodes[i].start(); err != nil {
			return err
		}
		w.ticks(i)
	}
	w.cut(2, true)
	for w.nodes[1].replica.Last() < 2 {
		if err := w.one(); err != nil {
			return err
		}
	}
	for end := w.now + 4*time.Millisecond; w.now < end && w.nodes[1].replica.Last() < 3 && w.nodes[0].applied < 2; {
		if err := w.one(); err != nil {
			return err
		}
	}
	w.cut(2, false)
	w.cut(0, true)
	if err := w.until(w.now + 3*time.Second); err != nil {
		return err
	}
	w.cut(0, false)
	return w.until(w.now + 3*time.Second)
}

// one carries out the next event.
func (w *world) one() error {
	e := heap.Pop(&w.queue).(event)
	w.now = e.at
	return e.do()
}

func TestEarlierTermsAreNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	caught := 0
	for s := range uint64(50) {
		is.NoErr(newWorld(s, "").oldTerm())
		if newWorld(s, "commit an earlier term by counting").oldTerm() != nil {
			caught++
		}
	}
	t.Logf("%d of 50 runs catch the fault", caught)
	is.True(caught >= 10)
}

// quiet runs the hosts undisturbed until one leads.
func (w *world) quiet() (*node, error) {
	w.calm = true
	for i, n := range w.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
		w.ticks(i)
	}
	if err := w.until(3 * time.Second); err != nil {
		return nil, err
	}
	for _, n := range w.nodes {
		if n.replica.Leading() {
			return n, nil
		}
	}
	return nil, errCrash
}

func TestHostThatComesBackDoesNotDisturb(t *testing.T) {
	is := is.New(t)
	for s := range uint64(20) {
		w := newWorld(s, "")
		l, err := w.quiet()
		is.NoErr(err)
		term := l.replica.Term()
		away := (l.number() + 1) % nodes
		w.cut(away, true)
		is.NoErr(w.until(w.now + 5*time.Second))
		w.cut(away, false)
		is.NoErr(w.until(w.now + 2*time.Second))
		is.Equal(l.replica.Term(), term)
		is.True(l.replica.Leading())
	}
}

func TestIsolatedLeaderStepsDownAndAnswersNoRead(t *testing.T) {
	is := is.New(t)
	for s := range uint64(20) {
		w := newWorld(s, "")
		l, err := w.quiet()
		is.NoErr(err)
		w.cut(l.number(), true)
		w.reads[nodes] = 0
		l.replica.Read(l.local(), nodes)
		is.NoErr(l.settle())
		is.NoErr(w.until(w.now + 700*time.Millisecond))
		is.True(!l.replica.Leading())
		is.True(l.replica.Lease().IsZero())
		_, asked := w.reads[nodes]
		is.True(!asked)
		is.NoErr(w.until(w.now + 2*time.Second))
		other := 0
		for _, n := range w.nodes {
			if n != l && n.replica.Leading() {
				other++
			}
		}
		is.Equal(other, 1)
	}
}

func TestTransferGivesUpTheLeaseFirst(t *testing.T) {
	is := is.New(t)
	for s := range uint64(20) {
		w := newWorld(s, "")
		l, err := w.quiet()
		is.NoErr(err)
		to := w.nodes[(l.number()+1)%nodes]
		is.NoErr(l.replica.Transfer(l.local(), to.self))
		is.True(l.replica.Lease().IsZero())
		is.NoErr(l.settle())
		is.NoErr(w.until(w.now + 200*time.Millisecond))
		is.True(to.replica.Leading())
		is.True(!to.replica.Lease().IsZero())
	}
}

func TestLostLeaderIsSucceededSoon(t *testing.T) {
	is := is.New(t)
	var all []time.Duration
	for s := range uint64(500) {
		w := newWorld(s, "")
		l, err := w.quiet()
		is.NoErr(err)
		w.cut(l.number(), true)
		start := w.now
		for w.leader(l) == nil && w.now < start+10*time.Second {
			is.NoErr(w.one())
		}
		all = append(all, w.now-start)
	}
	slices.Sort(all)
	t.Logf("median %v, 99th percentile %v, longest %v", all[250], all[495], all[499])
	is.True(all[250] < time.Second)
	is.True(all[495] < 2*time.Second)
}

// leader returns the host other than one that leads with a lease, if any.
func (w *world) leader(one *node) *node {
	for _, n := range w.nodes {
		if n != one && n.replica.Leading() && n.local().Before(n.replica.Lease()) {
			return n
		}
	}
	return nil
}
