package repair_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberchange"
	"siskinrun/internal/state/repair"
	"siskinrun/internal/state/standing"
)

func disk(host, d string) identity.Identity {
	return identity.Identity{Host: host, Disk: d}
}

func voter(host, d string, silence time.Duration) standing.Member {
	return standing.Member{Identity: disk(host, d), Voter: true, Silence: silence}
}

func learner(host, d string, lag uint64) standing.Member {
	return standing.Member{Identity: disk(host, d), Lag: lag}
}

func TestNext(t *testing.T) {
	self := disk("a", "1")
	all := []identity.Identity{self, disk("b", "1"), disk("c", "1")}
	for _, c := range []struct {
		name    string
		members []standing.Member
		present []identity.Identity
		want    string
	}{
		{"whole", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 0)}, all, "none"},
		{"silent without a spare", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 9*time.Second)}, all[:2], "none"},
		{"wiped", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 0)},
			[]identity.Identity{self, disk("b", "1"), disk("c", "2")}, "learn c/2"},
		{"wiped and behind", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 0), learner("c", "2", 100)},
			[]identity.Identity{self, disk("b", "1"), disk("c", "2")}, "none"},
		{"wiped and caught up", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 0), learner("c", "2", 1)},
			[]identity.Identity{self, disk("b", "1"), disk("c", "2")}, "promote c/2"},
		{"wiped and voting", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 0), voter("c", "2", 0)},
			[]identity.Identity{self, disk("b", "1"), disk("c", "2")}, "remove c/1"},
		{"silent with spares", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 9*time.Second)},
			[]identity.Identity{self, disk("b", "1"), disk("bb", "1"), disk("cc", "1")}, "learn cc/1"},
		{"silent for a moment", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", time.Second)},
			[]identity.Identity{self, disk("b", "1"), disk("cc", "1")}, "none"},
		{"silent at the leader alone", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 9*time.Second)},
			append(all, disk("cc", "1")), "none"},
		{"a learner wiped again", []standing.Member{voter("a", "1", 0), voter("b", "1", 0), voter("c", "1", 0), learner("c", "2", 1)},
			[]identity.Identity{self, disk("b", "1"), disk("c", "3")}, "remove c/2"},
		{"too few voters", []standing.Member{voter("a", "1", 0), voter("b", "1", 0)}, append(all[:2:2], disk("c", "2")), "learn c/2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := repair.Repair{Voters: 3, Silence: 2 * time.Second, CaughtUp: 64, Domain: func(h string) string { return h[:1] }}
			s := r.Next(standing.Standing{Self: self, Members: c.members}, c.present)
			is.New(t).Equal(text(s), c.want)
		})
	}
}

func text(s memberchange.Change) string {
	switch {
	case s.AddLearner:
		return "learn " + s.Member.String()
	case s.Promote:
		return "promote " + s.Member.String()
	case s.Remove:
		return "remove " + s.Member.String()
	}
	return "none"
}
