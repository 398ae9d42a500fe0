package promise_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/promise"
)

var start = time.Unix(1000, 0)

// TestShareOfAHostThatConfirmsNothingIsWithheldForATime guards against a share that nobody accrues, since a host asks for it again and
// again and its replies are lost.
func TestShareOfAHostThatConfirmsNothingIsWithheldForATime(t *testing.T) {
	is := is.New(t)
	b := promise.NewBook(start, []string{"a", "b"})
	b.Release("a")
	b.Release("b")
	is.True(b.Ask(start, "a", "h", 1, time.Time{}))
	now := start
	for now.Before(start.Add(2 * promise.Lapse)) {
		now = now.Add(50 * time.Millisecond)
		b.Ask(now, "a", "h", 1, time.Time{})
	}
	is.True(!b.Ask(now, "a", "h", 1, time.Time{}))
	is.True(!b.Ask(now, "a", "other", 1, time.Time{}))
	now = now.Add(promise.Lapse)
	is.True(b.Ask(now, "a", "other", 1, time.Time{}))
}

// TestOwnerAccruesTheShareOfADeputyThatConfirms guards against shares that are withheld while the deputy hears the owner.
func TestOwnerAccruesTheShareOfADeputyThatConfirms(t *testing.T) {
	is := is.New(t)
	b := promise.NewBook(start, []string{"a", "b"})
	n, _ := b.Withheld(start)
	is.Equal(n, 2) // a former owner may have promised both
	b.Release("b")
	b.Adopt(start, "a", "h", 1)
	n, _ = b.Withheld(start)
	is.Equal(n, 1)
	now := start
	for range 100 {
		last := now
		now = now.Add(50 * time.Millisecond)
		is.True(b.Ask(now, "a", "h", 1, last))
	}
	n, _ = b.Withheld(now)
	is.Equal(n, 0)
	n, either := b.Withheld(now.Add(promise.SilentAfter))
	is.Equal(n, 1)
	is.Equal(either, 1)
	b.Resign("a", "h", 1)
	n, either = b.Withheld(now.Add(promise.SilentAfter))
	is.Equal(n, 0)
	is.Equal(either, 1) // it may have accrued it until now
}
