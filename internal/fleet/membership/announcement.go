package membership

import (
	"time"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
)

type announcement struct {
	origin    gossipmessage.Origin
	createdAt time.Time
	upstream  upstream.Upstream
	// disputed says that announcements of this incarnation named different versions.
	disputed bool
}

// fillFrom completes a leave from a host that did not know the upstream with the fields of the known announcement.
func (a *announcement) fillFrom(old *announcement) {
	if old == nil || a.upstream.Address != "" || a.upstream.Incarnation != old.upstream.Incarnation {
		return
	}
	u := old.upstream
	u.Leaving = a.upstream.Leaving
	a.upstream = u
}

// settleVersion keeps the version that earlier announcements of the incarnation named, or none if they differ: a process
// has one version, so one of them is wrong.
func (a *announcement) settleVersion(old *announcement) {
	if old == nil || a.upstream.Incarnation != old.upstream.Incarnation {
		return
	}
	x, y := a.upstream.Version, old.upstream.Version
	a.disputed = old.disputed || x != "" && y != "" && x != y
	switch {
	case a.disputed:
		a.upstream.Version = ""
	case x == "":
		a.upstream.Version = y
	}
}

// coldTolerance is the difference below which two reports of the time that an upstream stays cold agree. They differ by
// the time that heartbeats are on their way.
const coldTolerance = 400 * time.Millisecond

// coldUntil returns when the upstream is warm.
func (a *announcement) coldUntil() time.Time {
	return a.createdAt.Add(a.upstream.Cold.Duration())
}

// sameCold reports whether a announcement says of the time that an upstream stays cold what an earlier one said.
func (a *announcement) sameCold(now time.Time, old *announcement) bool {
	x, y := a.coldUntil(), old.coldUntil()
	cold, wasCold := a.upstream.Cold > 0 && x.After(now), old.upstream.Cold > 0 && y.After(now)
	return cold == wasCold && (!cold || x.Sub(y).Abs() <= coldTolerance) || x.Sub(y).Abs() <= coldTolerance
}

// turnsCold reports whether an upstream that was warm is cold without a restart.
func (a *announcement) turnsCold(now time.Time, old *announcement) bool {
	return old != nil && a.upstream.Incarnation == old.upstream.Incarnation && a.upstream.Cold > 0 && !a.sameCold(now, old) &&
		a.coldUntil().After(old.coldUntil())
}

func (a *announcement) news(now time.Time) gossipmessage.Announcement {
	return gossipmessage.Announcement{Origin: a.origin, Age: now.Sub(a.createdAt), Upstream: a.upstream}
}
