package reachability_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/pathanswer"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/reachability"
)

var (
	start     = time.Unix(1000, 0)
	upstreams = []upstream.Upstream{
		{Name: "u1", Service: "s", Address: "1"}, {Name: "u2", Service: "s", Address: "2"},
		{Name: "u3", Service: "s", Address: "3"}, {Name: "u4", Service: "s", Address: "4"},
	}
)

// newTable returns the table of a host in domain a, with upstreams u1 to u4 and hosts in two domains.
func newTable() *reachability.Table {
	t := reachability.NewTable("a", 1)
	t.SetUpstreams(upstreams)
	t.SetHosts([]host.Host{{Name: "a2", FailureDomain: "a"}, {Name: "a3", FailureDomain: "a"}, {Name: "b1", FailureDomain: "b"}})
	return t
}

// reaches is the answer of a host that was asked about u1 and reaches it, and has lost some others.
func reaches(busy int, lost ...string) pathanswer.Answer {
	return pathanswer.Answer{Asked: []string{"u1"}, Reached: []string{"u1"}, Lost: lost, Linked: true, Busy: busy}
}

func TestLostPathGoesThroughHostsThatReachTheUpstream(t *testing.T) {
	is := is.New(t)
	x := newTable()
	is.True(x.Direct("u1"))
	is.True(x.Failed("u1", start))
	is.True(!x.Failed("u1", start)) // it was lost before
	is.True(!x.Direct("u1"))
	is.Equal(len(x.Gateways("u1", start)), 0)
	x.Answered("a2", reaches(0), start)
	x.Answered("a3", pathanswer.Answer{Asked: []string{"u1"}, Lost: []string{"u1"}}, start)
	is.Equal(x.Gateways("u1", start), []string{"a2"})
	is.True(x.Worked("u1", start.Add(time.Second)))
	is.True(x.Direct("u1"))
}

func TestGatewayOfTheOwnDomainGoesFirstUntilItIsBusy(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Answered("a2", reaches(2), start)
	x.Answered("a3", reaches(1), start)
	x.Answered("b1", reaches(0), start)
	is.Equal(x.Gateways("u1", start), []string{"a3", "a2", "b1"})
	x.Opened("a3")
	x.Opened("a3")
	is.Equal(x.Gateways("u1", start), []string{"a2", "a3", "b1"})
	x.Answered("a2", reaches(9), start)
	x.Answered("a3", reaches(9), start)
	is.Equal(x.Gateways("u1", start)[0], "b1")
}

func TestFullGatewayGoesLastForATime(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Answered("a2", pathanswer.Answer{Asked: []string{"u1"}, Reached: []string{"u1"}, Linked: true, Full: true}, start)
	x.Answered("b1", reaches(100), start)
	is.Equal(x.Gateways("u1", start), []string{"b1", "a2"})
	is.Equal(x.Gateways("u1", start.Add(2*time.Second)), []string{"a2", "b1"})
}

func TestAnswerOfAGatewayExpires(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Answered("a2", reaches(0), start)
	is.Equal(len(x.Gateways("u1", start.Add(4*time.Second))), 0)
}

func TestUpstreamThatNobodyReachesIsAskedAboutMoreAndMoreSeldom(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	var asked []time.Duration
	for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if len(x.Questions(at)) == 0 {
			continue
		}
		asked = append(asked, at.Sub(start)/time.Millisecond)
		x.Asked([]string{"u1"}, at)
	}
	is.Equal(asked, []time.Duration{0, 300, 900, 1900, 2900, 3900, 4900})
}

func TestNewlyLostPathIsAskedAboutWithAllThatAreLost(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Asked(x.Questions(start), start)
	n := start.Add(150 * time.Millisecond)
	is.Equal(len(x.Questions(n)), 0)
	x.Failed("u2", n)
	is.Equal(x.Questions(n), []string{"u1", "u2"})
}

func TestOneConnectionThatTakesLongIsNoQuestion(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Doubt("u1", start)
	is.Equal(len(x.Questions(start)), 0)
	is.Equal(len(x.Doubted(start)), 0)
	x.Doubt("u2", start)
	is.Equal(x.Questions(start), []string{"u1", "u2"})
	x.Worked("u1", start)
	is.Equal(len(x.Questions(start)), 0)
}

func TestNothingIsAskedWhileAllPathsAreSound(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Worked("u1", start)
	is.Equal(len(x.Questions(start)), 0)
	is.Equal(len(x.Lost()), 0)
	is.True(!x.Fresh(start))
}

func TestPathIsSuspectOnceOthersAreLostThatOtherHostsReach(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Worked("u4", start)
	x.Failed("u1", start.Add(time.Millisecond))
	x.Failed("u2", start.Add(time.Millisecond))
	is.True(!x.Suspect("u4", start)) // both may have ended
	x.Answered("a2", reaches(0), start)
	is.True(x.Suspect("u4", start))
	x.Worked("u4", start.Add(2*time.Millisecond))
	is.True(!x.Suspect("u4", start.Add(2*time.Millisecond)))
}

func TestHostThatReachesOneIsTakenToReachAllButThoseItHasLost(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Answered("a2", reaches(0, "u3"), start)
	is.Equal(x.Gateways("u2", start), []string{"a2"})
	is.Equal(len(x.Gateways("u3", start)), 0)
}

func TestServiceIsCutOffOnlyIfOthersReachIt(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Failed("u2", start)
	lost, _ := x.CutOff(start)
	is.Equal(len(lost), 0)
	x.Answered("a2", reaches(0), start)
	lost, _ = x.CutOff(start)
	is.Equal(lost, []string{"s"})
	lost, regained := x.CutOff(start)
	is.Equal(len(lost)+len(regained), 0)
	x.Worked("u1", start)
	_, regained = x.CutOff(start)
	is.Equal(regained, []string{"s"})
}

func TestProofOfAPath(t *testing.T) {
	is := is.New(t)
	x := newTable()
	_, known := x.Proof("u1", start)
	is.True(!known)
	x.Worked("u1", start)
	reached, known := x.Proof("u1", start.Add(100*time.Millisecond))
	is.True(reached && known)
	_, known = x.Proof("u1", start.Add(time.Second))
	is.True(!known)
	x.Refuted("u1", start.Add(time.Second))
	reached, known = x.Proof("u1", start.Add(time.Second))
	is.True(!reached && known)
	is.True(x.Direct("u1")) // a failure for another host loses no path
	is.True(x.Denied("u1"))
	reached, known = x.Proof("gone", start)
	is.True(!reached && known)
}

func TestUpstreamThatMovedBeginsAnew(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Failed("u2", start)
	l := slices.Clone(upstreams)
	l[0].Address = "5"
	x.SetUpstreams(l)
	is.Equal(x.Lost(), []string{"u2"})
	is.True(x.Direct("u1"))
	x.SetUpstreams(l[2:])
	is.Equal(len(x.Lost()), 0)
}

func TestOthersAreAskedAtOnceWhenTheLastGatewayIsLost(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Answered("a2", reaches(0), start)
	x.Answered("b1", reaches(0), start)
	x.Asked([]string{"u1"}, start)
	soon := start.Add(10 * time.Millisecond)
	x.Unreached("a2", "u1")
	is.Equal(len(x.Questions(soon)), 0) // b1 is left
	x.Unreached("b1", "u1")
	is.Equal(x.Questions(soon), []string{"u1"})
	is.True(x.Open("u1"))
}

func TestHostsThatWereOfNoUseAreAskedLast(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Failed("u1", start)
	x.Avoid("a2", start)
	is.Equal(len(x.Candidates(3, nil, nil, start)), 3)
	is.Equal(x.Candidates(3, nil, nil, start)[2], "a2")
	is.True(!slices.Contains(x.Candidates(2, nil, nil, start), "a2"))
}
