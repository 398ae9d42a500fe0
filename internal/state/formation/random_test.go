package formation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/identity"
)

const (
	hosts = 3
	seeds = 2000
	steps = 200
)

// attempt is a proposal with outstanding promises.
type attempt struct {
	coordinator int
	proposal    formation.Formation
	pending     []int
}

// simulation runs three hosts whose disks are wiped at any moment and whose messages arrive late.
type simulation struct {
	random     *rand.Rand
	mayPromise func(f, n formation.Formation, self identity.Identity) bool
	disks      int
	self       [hosts]identity.Identity
	held       [hosts]formation.Formation
	attempts   []*attempt
	clusters   int
}

func (w *simulation) wipe(i int) {
	w.disks++
	w.self[i] = identity.Identity{Host: string(rune('a' + i)), Disk: fmt.Sprint(w.disks)}
	w.held[i] = formation.Formation{}
}

// greet lets a host learn of a complete formation from the hosts that it reaches, or propose one. Any host may propose,
// as happens when settings differ between hosts.
func (w *simulation) greet(i int) {
	if w.held[i].Formed {
		return
	}
	reached := 0
	for j := range hosts {
		if j != i && w.random.IntN(4) == 0 {
			continue
		}
		reached++
		if w.held[j].Formed {
			w.held[i] = w.held[j]
			return
		}
	}
	if reached < hosts {
		return
	}
	w.clusters++
	f := w.held[i].NextProposal(fmt.Sprint(w.clusters), w.self[i], slices.Clone(w.self[:]))
	if !w.mayPromise(w.held[i], f, w.self[i]) {
		return
	}
	w.held[i] = f
	w.attempts = append(w.attempts, &attempt{i, f, []int{(i + 1) % hosts, (i + 2) % hosts}})
}

// promise delivers a request for a promise, sometimes twice, and completes the formation once all have promised.
func (w *simulation) promise(a *attempt) {
	if len(a.pending) == 0 {
		return
	}
	i := a.pending[0]
	if !w.mayPromise(w.held[i], a.proposal, w.self[i]) {
		return
	}
	w.held[i] = a.proposal
	if w.random.IntN(5) > 0 {
		a.pending = a.pending[1:]
	}
	c := w.held[a.coordinator]
	if len(a.pending) == 0 && c.Cluster == a.proposal.Cluster && c.Round == a.proposal.Round {
		w.held[a.coordinator].Formed = true
	}
}

// check returns an error if disks belong to different complete formations.
func (w *simulation) check() error {
	cluster := ""
	for _, f := range w.held {
		if !f.Formed {
			continue
		}
		if cluster != "" && cluster != f.Cluster {
			return fmt.Errorf("clusters %s and %s are both formed", cluster, f.Cluster)
		}
		cluster = f.Cluster
	}
	return nil
}

func (w *simulation) run() error {
	for i := range hosts {
		w.wipe(i)
	}
	for range steps {
		switch n := w.random.IntN(10); {
		case n == 0:
			w.wipe(w.random.IntN(hosts))
		case n < 5 || len(w.attempts) == 0:
			w.greet(w.random.IntN(hosts))
		default:
			w.promise(w.attempts[w.random.IntN(len(w.attempts))])
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func TestNoSecondClusterForms(t *testing.T) {
	formed := 0
	for s := range uint64(seeds) {
		w := &simulation{random: rand.New(rand.NewPCG(s, 3)), mayPromise: formation.Formation.MayPromise}
		if err := w.run(); err != nil {
			t.Fatalf("seed %d: %v", s, err)
		}
		for _, f := range w.held {
			if f.Formed {
				formed++
				break
			}
		}
	}
	if formed < seeds/10 {
		t.Fatalf("only %d of %d runs formed a cluster", formed, seeds)
	}
}

// TestUnsafePromisesAreDetected checks that the simulation detects promises that ignore the coordinator and the members.
func TestUnsafePromisesAreDetected(t *testing.T) {
	unsafe := func(f, _ formation.Formation, _ identity.Identity) bool { return !f.Formed }
	for s := range uint64(2 * seeds) {
		w := &simulation{random: rand.New(rand.NewPCG(s, 3)), mayPromise: unsafe}
		if err := w.run(); err != nil {
			t.Logf("seed %d: %v", s, err)
			return
		}
	}
	t.Fatal("no run formed a second cluster")
}
