package reachability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/pathanswer"
	"siskinrun/internal/routing/reachability"
)

// lostForLong returns a table whose paths are lost and that has asked in vain several times, and when it last did.
func lostForLong() (x *reachability.Table, at time.Time) {
	x = newTable()
	at = start
	for range 6 {
		x.Failed("u1", at)
		x.Failed("u2", at)
		x.Asked([]string{"u1", "u2"}, at)
		at = at.Add(time.Second)
	}
	return x, at
}

// TestWordOfRegainedLinksDuringAQuestionIsKept checks that a host which says that it has links again while others are being asked
// is asked soon.
func TestWordOfRegainedLinksDuringAQuestionIsKept(t *testing.T) {
	is := is.New(t)
	x, at := lostForLong()
	is.Equal(x.Questions(at), []string{"u1", "u2"})
	x.Regained("h1", at)
	x.Asked([]string{"u1", "u2"}, at)
	is.Equal(x.Questions(at.Add(300*time.Millisecond)), []string{"u1", "u2"})
}

// TestHostThatRegainsItsLinksOneByOneIsAskedAgainSoon checks that the first answer of a host that regains its links, which names
// those that it has by then, does not hold for the others.
func TestHostThatRegainsItsLinksOneByOneIsAskedAgainSoon(t *testing.T) {
	is := is.New(t)
	x, at := lostForLong()
	x.Regained("h1", at)
	is.Equal(x.Questions(at), []string{"u1", "u2"})
	x.Answered("h1", pathanswer.Answer{Asked: []string{"u1", "u2"}, Reached: []string{"u1"}, Lost: []string{"u2"}, Linked: true}, at)
	x.Asked([]string{"u1", "u2"}, at)
	is.Equal(x.Questions(at.Add(300*time.Millisecond)), []string{"u1", "u2"})
}
