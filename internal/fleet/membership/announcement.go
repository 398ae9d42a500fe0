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

func (a *announcement) news(now time.Time) gossipmessage.Announcement {
	return gossipmessage.Announcement{Origin: a.origin, Age: now.Sub(a.createdAt), Upstream: a.upstream}
}
