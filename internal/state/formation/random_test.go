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

// attempt is a proposal whose promises are under way.
type attempt struct {
	by       int
	proposal formation.Formation
	left     []int
}

// world is three hosts whose disks are emptied at any moment and whose messages come late.
type world struct {
	random   *rand.Rand
	yields   func(f, n formation.Formation, self identity.Identity) bool
	disks    int
	self     [hosts]identity.Identity
	held     [hosts]formation.Formation
	attempts []*attempt
	clusters int
}

func (w *world) empty(i int) {
	w.disks++
	w.self[i] = identity.Identity{Host: string(rune('a' + i)), Disk: fmt.Sprint(w.disks)}
	w.held[i] = formation.Formation{}
}

// greet lets a host learn from those it reaches, or start a formation, as hosts with unlike settings all may.
func (w *world) greet(i int) {
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
	f := w.held[i].Next(fmt.Sprint(w.clusters), w.self[i], slices.Clone(w.self[:]))
	if !w.yields(w.held[i], f, w.self[i]) {
		return
	}
	w.held[i] = f
	w.attempts = append(w.attempts, &attempt{i, f, []int{(i + 1) % hosts, (i + 2) % hosts}})
}

// promise delivers a request for a promise, now and then twice, and completes what all have promised.
func (w *world) promise(a *attempt) {
	if len(a.left) == 0 {
		return
	}
	i := a.left[0]
	if !w.yields(w.held[i], a.proposal, w.self[i]) {
		return
	}
	w.held[i] = a.proposal
	if w.random.IntN(5) > 0 {
		a.left = a.left[1:]
	}
	c := w.held[a.by]
	if len(a.left) == 0 && c.Cluster == a.proposal.Cluster && c.Round == a.proposal.Round {
		w.held[a.by].Formed = true
	}
}

// check finds disks that belong to different complete formations.
func (w *world) check() error {
	cluster := ""
	for _, f := range w.held {
		if !f.Formed {
			continue
		}
		if cluster != "" && cluster != f.Cluster {
			return fmt.Errorf("the clusters %s and %s stand side by side", cluster, f.Cluster)
		}
		cluster = f.Cluster
	}
	return nil
}

func (w *world) run() error {
	for i := range hosts {
		w.empty(i)
	}
	for range steps {
		switch n := w.random.IntN(10); {
		case n == 0:
			w.empty(w.random.IntN(hosts))
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
		w := &world{random: rand.New(rand.NewPCG(s, 3)), yields: formation.Formation.Yields}
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

// TestLoosePromisesAreCaught shows that the check finds promises that forget the coordinator and the members.
func TestLoosePromisesAreCaught(t *testing.T) {
	loose := func(f, _ formation.Formation, _ identity.Identity) bool { return !f.Formed }
	for s := range uint64(2 * seeds) {
		w := &world{random: rand.New(rand.NewPCG(s, 3)), yields: loose}
		if err := w.run(); err != nil {
			t.Logf("seed %d: %v", s, err)
			return
		}
	}
	t.Fatal("not caught")
}
