package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/state/replica"
)

const (
	stalledDiskSeeds = 40
	// soundSync and slowSync are how long a sync of a sound and of a slow disk takes.
	soundSync = 2 * time.Millisecond
	slowSync  = 1500 * time.Millisecond
	// stallTime is how long a stalling disk writes nothing, once each stallCycle.
	stallTime  = 5 * time.Second
	stallCycle = 10 * time.Second
	// quietBatch bounds the entries in a message of a run without faults.
	quietBatch = 1000
	// loadGap is the time between two entries that are proposed.
	loadGap = 30 * time.Millisecond
	// quietGap is the same where a host that lags behind shall not need a snapshot.
	quietGap = time.Second
)

// startQuiet starts the hosts of a run without faults, with a sync time for each.
func (w *simulation) startQuiet(syncTimes ...time.Duration) error {
	w.faultsOff = true
	w.batch = quietBatch
	for i, n := range w.nodes {
		n.syncTime = syncTimes[i]
		if err := n.start(); err != nil {
			return err
		}
		w.scheduleTicks(i)
	}
	return nil
}

// stallDisk lets the syncs of a host that begin in a stall end with it, for one stall each cycle.
func (w *simulation) stallDisk(i int, first time.Duration) {
	w.schedule(replica.TickInterval, func() error {
		w.stallDisk(i, first)
		w.nodes[i].syncTime = soundSync
		if at := (w.now - first) % stallCycle; w.now >= first && at < stallTime {
			w.nodes[i].syncTime = max(soundSync, stallTime-at)
		}
		return nil
	})
}

// propose keeps proposing entries at the leader.
func (w *simulation) propose(gap time.Duration) {
	w.schedule(gap, func() error {
		w.propose(gap)
		n := w.leader(nil)
		if n == nil {
			return nil
		}
		if i, t, err := n.replica.Propose(fmt.Append(nil, w.seq)); err == nil {
			n.proposed[i] = t
		}
		return n.execute()
	})
}

// service is what a group did over some time.
type service struct {
	// without is the time without a leader that holds its lease.
	without time.Duration
	// idle is the longest time in which no entry was acknowledged.
	idle time.Duration
	// leaders counts the changes of the leader.
	leaders int
}

// serve runs the hosts for d and measures what they do.
func (w *simulation) serve(d time.Duration) (s service, err error) {
	end, moved := w.now+d, w.now
	acked := w.checker.acked
	var last *node
	for w.now < end {
		at := w.now
		if err := w.step(); err != nil {
			return s, err
		}
		l := w.leader(nil)
		if l == nil {
			s.without += w.now - at
		}
		if l != nil && l != last {
			s.leaders, last = s.leaders+1, l
		}
		if w.checker.acked > acked {
			acked, moved = w.checker.acked, w.now
		}
		s.idle = max(s.idle, w.now-moved)
	}
	return s, w.checker.logs()
}

// TestSlowDisksOfAFewLeaveALeader checks that a group whose majority has sound disks elects a leader soon, keeps it and serves.
func TestSlowDisksOfAFewLeaveALeader(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		syncTimes [nodes]time.Duration
		stalled   []int
	}{
		{"all sound", [nodes]time.Duration{soundSync, soundSync, soundSync}, nil},
		{"one slow", [nodes]time.Duration{slowSync, soundSync, soundSync}, nil},
		{"one never ends a sync", [nodes]time.Duration{time.Hour, soundSync, soundSync}, nil},
		{"one stalls", [nodes]time.Duration{soundSync, soundSync, soundSync}, []int{0}},
		{"each stalls in turn", [nodes]time.Duration{soundSync, soundSync, soundSync}, []int{0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var most service
			for seed := range uint64(stalledDiskSeeds) {
				w := newSimulation(seed, "")
				is.NoErr(w.startQuiet(c.syncTimes[:]...))
				for k, i := range c.stalled {
					w.stallDisk(i, time.Duration(k)*stallTime)
				}
				w.propose(loadGap)
				is.NoErr(w.runUntil(4 * time.Second))
				s, err := w.serve(40 * time.Second)
				is.NoErr(err)
				most.without, most.idle = max(most.without, s.without), max(most.idle, s.idle)
				most.leaders = max(most.leaders, s.leaders)
			}
			t.Logf("at most: %v without a leader, %v without an entry, %d leaders", most.without, most.idle, most.leaders)
			is.Equal(most.leaders, 1)
			is.Equal(most.without, time.Duration(0))
			is.True(most.idle < time.Second)
		})
	}
}

// replaceLeader cuts off a leader with a sound disk and returns how long the others, of which one is slow, need for a new one.
func replaceLeader(seed uint64, limit time.Duration, prepare func(w *simulation)) (time.Duration, error) {
	w := newSimulation(seed, "")
	if err := w.startQuiet(slowSync, soundSync, soundSync); err != nil {
		return 0, err
	}
	prepare(w)
	w.propose(quietGap)
	if err := w.runUntil(4 * time.Second); err != nil {
		return 0, err
	}
	l := w.leader(nil)
	if l == nil || l.index() == 0 {
		return 0, nil
	}
	w.isolate(l.index(), true)
	start := w.now
	for w.leader(l) == nil && w.now < start+limit {
		if err := w.step(); err != nil {
			return 0, err
		}
	}
	return w.now - start, w.checker.logs()
}

// TestLostLeaderIsReplacedBesideASlowDisk checks that a majority of which one disk is slow elects a leader.
func TestLostLeaderIsReplacedBesideASlowDisk(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		limit   time.Duration
		prepare func(w *simulation)
	}{
		{"slow", 20 * time.Second, func(*simulation) {}},
		{"stalls", 10 * time.Second, func(w *simulation) { w.stallDisk(0, 3*time.Second) }},
		{"stalls later", 10 * time.Second, func(w *simulation) { w.stallDisk(0, 5*time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var all []time.Duration
			for seed := range uint64(5 * stalledDiskSeeds) {
				d, err := replaceLeader(seed, c.limit, c.prepare)
				is.NoErr(err)
				if d > 0 {
					all = append(all, d)
				}
			}
			slices.Sort(all)
			t.Logf("%d runs, median %v, longest %v", len(all), all[len(all)/2], all[len(all)-1])
			is.True(all[len(all)-1] < c.limit)
		})
	}
}
