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

func (s *simulation) wipe(i int) {
	s.disks++
	s.self[i] = identity.Identity{Host: string(rune('a' + i)), Disk: fmt.Sprint(s.disks)}
	s.held[i] = formation.Formation{}
}

// greet lets a host learn of a complete formation from the hosts that it reaches, or propose one. Any host may propose,
// as happens when settings differ between hosts.
func (s *simulation) greet(i int) {
	if s.held[i].Formed {
		return
	}
	reached := 0
	for j := range hosts {
		if j != i && s.random.IntN(4) == 0 {
			continue
		}
		reached++
		if s.held[j].Formed {
			s.held[i] = s.held[j]
			return
		}
	}
	if reached < hosts {
		return
	}
	s.clusters++
	f := s.held[i].NextProposal(fmt.Sprint(s.clusters), s.self[i], slices.Clone(s.self[:]))
	if !s.mayPromise(s.held[i], f, s.self[i]) {
		return
	}
	s.held[i] = f
	s.attempts = append(s.attempts, &attempt{i, f, []int{(i + 1) % hosts, (i + 2) % hosts}})
}

// promise delivers a request for a promise, sometimes twice, and completes the formation once all have promised.
func (s *simulation) promise(a *attempt) {
	if len(a.pending) == 0 {
		return
	}
	i := a.pending[0]
	if !s.mayPromise(s.held[i], a.proposal, s.self[i]) {
		return
	}
	s.held[i] = a.proposal
	if s.random.IntN(5) > 0 {
		a.pending = a.pending[1:]
	}
	c := s.held[a.coordinator]
	if len(a.pending) == 0 && c.Cluster == a.proposal.Cluster && c.Round == a.proposal.Round {
		s.held[a.coordinator].Formed = true
	}
}

// check returns an error if disks belong to different complete formations.
func (s *simulation) check() error {
	cluster := ""
	for _, f := range s.held {
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

func (s *simulation) run() error {
	for i := range hosts {
		s.wipe(i)
	}
	for range steps {
		switch n := s.random.IntN(10); {
		case n == 0:
			s.wipe(s.random.IntN(hosts))
		case n < 5 || len(s.attempts) == 0:
			s.greet(s.random.IntN(hosts))
		default:
			s.promise(s.attempts[s.random.IntN(len(s.attempts))])
		}
		if err := s.check(); err != nil {
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
