package reachability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/pathanswer"
	"siskinrun/internal/routing/reachability"
)

// askInVain lets a table that has lost some paths ask until it asks as seldom as it may, and returns when it last did.
func askInVain(x *reachability.Table, names ...string) time.Time {
	for _, n := range names {
		x.Failed(n, start)
	}
	at := start
	for range 5 {
		at = at.Add(time.Second)
		x.Asked(x.Questions(at), at)
	}
	return at
}

// TestNewsThatComesDuringARoundOfQuestionsIsAskedAboutNext guards against a host that is told of links while it waits for
// answers, and asks again only as late as if it had not been told.
func TestNewsThatComesDuringARoundOfQuestionsIsAskedAboutNext(t *testing.T) {
	is := is.New(t)
	x := newTable()
	at := askInVain(x, "u1").Add(time.Second)
	l := x.Questions(at)
	is.Equal(l, []string{"u1"})
	x.Regained("a2", at.Add(10*time.Millisecond))
	x.Answered("a2", pathanswer.Answer{Asked: l, Lost: l}, at.Add(20*time.Millisecond)) // sent before the news
	x.Avoid("a3", at.Add(20*time.Millisecond))
	x.Asked(l, at.Add(30*time.Millisecond))
	soon := at.Add(50 * time.Millisecond)
	is.Equal(x.Questions(soon), l)
	is.Equal(x.Candidates(1, nil, nil, soon), []string{"a2"})
	x.Asked(l, soon)
	is.Equal(len(x.Questions(soon.Add(200*time.Millisecond))), 0) // old news makes no second round
}

// TestNewsIsNoMatterWhereAllLostPathsHaveGateways guards against rounds of questions one after the other while many hosts get
// their links back, though the host that asks needs none of them.
func TestNewsIsNoMatterWhereAllLostPathsHaveGateways(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	l := x.Questions(start)
	x.Regained("a3", start.Add(time.Millisecond))
	x.Answered("a2", reaches(0), start.Add(2*time.Millisecond))
	x.Asked(l, start.Add(3*time.Millisecond))
	is.Equal(len(x.Questions(start.Add(50*time.Millisecond))), 0)
}

// TestPathsThatComeBackOneByOneAreAskedAboutSoon guards against a host that is told of the first paths that are back, and asks
// about those that follow only when it would refresh what it knows.
func TestPathsThatComeBackOneByOneAreAskedAboutSoon(t *testing.T) {
	is := is.New(t)
	x := newTable()
	at := askInVain(x, "u1", "u2", "u3").Add(time.Second)
	l := x.Questions(at)
	x.Answered("a2", pathanswer.Answer{Asked: l, Reached: l[:1], Lost: l[1:], Linked: true}, at)
	x.Asked(l, at)
	soon := at.Add(100 * time.Millisecond)
	is.Equal(x.Questions(soon), l)
	x.Answered("a2", pathanswer.Answer{Asked: l, Reached: l[:1], Lost: l[1:], Linked: true}, soon)
	x.Asked(l, soon) // nothing has come back since
	is.Equal(len(x.Questions(soon.Add(200*time.Millisecond))), 0)
	next := soon.Add(300 * time.Millisecond)
	is.Equal(x.Questions(next), l)
	x.Answered("a2", pathanswer.Answer{Asked: l, Reached: l, Linked: true}, next)
	x.Asked(l, next)
	is.Equal(len(x.Questions(next.Add(900*time.Millisecond))), 0) // all have gateways
	is.Equal(x.Questions(next.Add(time.Second)), l)
}

// TestAllHostsOfASmallFleetAreAskedInTurn guards against a host that leaves another out of several rounds of questions, which then
// does not tell it that it has links again.
func TestAllHostsOfASmallFleetAreAskedInTurn(t *testing.T) {
	is := is.New(t)
	x := newTable()
	at := start
	for range 20 {
		asked := map[string]bool{}
		for range 2 {
			at = at.Add(2 * time.Second)
			for _, h := range x.Candidates(2, nil, nil, at) {
				asked[h] = true
			}
		}
		is.Equal(len(asked), 3)
	}
}
