package repair_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberchange"
	"siskinrun/internal/state/repair"
)

func newIdentity(host, d string) identity.Identity {
	return identity.Identity{Host: host, Disk: d}
}

func newVoter(host, d string, silence time.Duration) groupstatus.Member {
	return groupstatus.Member{Identity: newIdentity(host, d), Voter: true, Silence: silence}
}

func newLearner(host, d string, lag uint64) groupstatus.Member {
	return groupstatus.Member{Identity: newIdentity(host, d), Lag: lag}
}

func TestPlannerNext(t *testing.T) {
	self := newIdentity("a", "1")
	all := []identity.Identity{self, newIdentity("b", "1"), newIdentity("c", "1")}
	for _, c := range []struct {
		name    string
		members []groupstatus.Member
		present []identity.Identity
		want    string
	}{
		{"complete", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 0)}, all, "none"},
		{"silent without a spare", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 9*time.Second)}, all[:2], "none"},
		{"wiped disk", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 0)},
			[]identity.Identity{self, newIdentity("b", "1"), newIdentity("c", "2")}, "learn c/2"},
		{"wiped disk, learner behind", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 0), newLearner("c", "2", 100)},
			[]identity.Identity{self, newIdentity("b", "1"), newIdentity("c", "2")}, "none"},
		{"wiped disk, learner caught up", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 0), newLearner("c", "2", 1)},
			[]identity.Identity{self, newIdentity("b", "1"), newIdentity("c", "2")}, "promote c/2"},
		{"wiped disk, new voter", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 0), newVoter("c", "2", 0)},
			[]identity.Identity{self, newIdentity("b", "1"), newIdentity("c", "2")}, "remove c/1"},
		{"silent with spares", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 9*time.Second)},
			[]identity.Identity{self, newIdentity("b", "1"), newIdentity("bb", "1"), newIdentity("cc", "1")}, "learn cc/1"},
		{"silent for less than the limit", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", time.Second)},
			[]identity.Identity{self, newIdentity("b", "1"), newIdentity("cc", "1")}, "none"},
		{"silent to the leader but present", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 9*time.Second)},
			append(all, newIdentity("cc", "1")), "none"},
		{"learner with a wiped disk", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0), newVoter("c", "1", 0), newLearner("c", "2", 1)},
			[]identity.Identity{self, newIdentity("b", "1"), newIdentity("c", "3")}, "remove c/2"},
		{"too few voters", []groupstatus.Member{newVoter("a", "1", 0), newVoter("b", "1", 0)}, append(all[:2:2], newIdentity("c", "2")), "learn c/2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := repair.Planner{Voters: 3, MaxSilence: 2 * time.Second, MaxPromotionLag: 64, Domain: func(h string) string { return h[:1] }}
			s := r.Next(groupstatus.Status{Self: self, Members: c.members}, c.present)
			is.New(t).Equal(describe(s), c.want)
		})
	}
}

func describe(s memberchange.Change) string {
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
