package picker

import (
	"time"

	"siskinrun/internal/data/upstream"
)

// newsTTL is the time after the last news of other hosts from which on this host may have missed some: it was suspended, or cut
// off. It is longer than the time between two exchanges of news in a large fleet.
const newsTTL = 1500 * time.Millisecond

// VersionDuring returns the version of the process at an upstream that began to answer at began and answers still, and whether it
// is certain: the upstream has announced itself since, or it did shortly before and no connection was refused in between.
func (c *Picker) VersionDuring(u upstream.Upstream, began time.Time) (version string, certain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[u.Name]
	switch {
	case !ok:
		return "", false
	case m.announcedAt.After(began):
		return m.upstream.Version, true
	case !c.knownWell(m, began):
		return "", false
	case m.refusedAt.After(m.announcedAt) && !m.refusedAt.After(began):
		return "", false
	default:
		return u.Version, u.Incarnation == m.upstream.Incarnation
	}
}

// VersionFresh reports whether an upstream has announced its version lately, as far as this host knows.
func (c *Picker) VersionFresh(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	return ok && c.knownWell(m, now)
}

// versionCertain reports whether the upstream has announced itself lately, and since a connection to it last broke: it may have
// come back under its name with another version, of which a host that hears nothing of the others is not told.
func (c *Picker) versionCertain(m *member, now time.Time) bool {
	return c.knownWell(m, now) && (m.brokenAt.IsZero() || m.announcedAt.After(m.brokenAt))
}

// knownWell reports whether at a time this host was in step with others and had heard of an upstream lately.
func (c *Picker) knownWell(m *member, at time.Time) bool {
	if c.VersionTTL > 0 && at.Sub(m.announcedAt) > c.VersionTTL {
		return false
	}
	if c.HeardAt == nil {
		return true
	}
	h := c.HeardAt()
	return h.IsZero() || at.Sub(h) <= newsTTL
}
