package configcache

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/delta"
	"siskinrun/internal/config/freshness"
	"siskinrun/internal/config/update"
	"siskinrun/internal/data/configuration"
)

const (
	// StartupDelay is how long a host that has just started waits for a confirmed version
	// before it serves open routes with the newest version that it holds.
	StartupDelay = 5 * time.Second
	// EvacuationDelay takes the place of StartupDelay where operators evacuate failure domains: the newest version that a host
	// holds may be older than an acknowledged evacuation. It is the time in which deployments are to recover (recovery_s).
	EvacuationDelay = 15 * time.Second

	maxDeltas     = 256
	maxDeltaBytes = 4 << 20
)

// Cache holds the newest version known to a host, the version in force on it and their freshness.
type Cache struct {
	// Delay is how long a host that has just started waits for a confirmed version, StartupDelay unless set.
	Delay time.Duration

	start time.Time
	lease freshness.Freshness
	// held is the newest version known and published the version in force.
	held      *configuration.Configuration
	published *configuration.Configuration
	// serving is set once held may be put in force.
	serving bool
	// deltas are consecutive and lead to held; their encoded size is deltaBytes.
	deltas     []encodedDelta
	deltaBytes int
	// full is the last result of fullDelta.
	full encodedDelta
}

// encodedDelta is a delta between two versions in its encoded form.
type encodedDelta struct {
	from, to uint64
	body     []byte
}

// NewCache returns a cache that holds the empty version 0.
func NewCache(start time.Time, lease time.Duration) *Cache {
	c := &configuration.Configuration{}
	return &Cache{
		Delay:     StartupDelay,
		start:     start,
		lease:     freshness.Freshness{Lease: lease},
		held:      c,
		published: c,
	}
}

// Published returns the version in force, under which requests are served.
func (c *Cache) Published() *configuration.Configuration {
	return c.published
}

// HeldVersion returns the number of the newest version that the host holds.
func (c *Cache) HeldVersion() uint64 {
	return c.held.Version
}

// LeaseEnd returns when the host's lease on the configuration ends.
func (c *Cache) LeaseEnd() time.Time {
	return c.lease.Until()
}

// Age returns the time since the newest confirmation and whether there is one.
func (c *Cache) Age(now time.Time) (time.Duration, bool) {
	return c.lease.Age(now)
}

// ApplyLocal adds a version from the host's own replica.
func (c *Cache) ApplyLocal(now time.Time, n *configuration.Configuration) error {
	if n.Version > c.held.Version {
		b, err := delta.Between(c.held, n).Encode()
		if err != nil {
			return errors.Wrap(err, "encode delta")
		}
		if err := c.hold(n, encodedDelta{c.held.Version, n.Version, b}); err != nil {
			return err
		}
	}
	return c.publish(now)
}

// Confirm adds a version that the host's own replica held after a quorum answered a confirmation request sent at sent.
func (c *Cache) Confirm(now, sent time.Time, n *configuration.Configuration) error {
	if err := c.ApplyLocal(now, n); err != nil {
		return err
	}
	c.lease.Confirm(sent)
	c.serving = true
	return c.publish(now)
}

// Answer returns the update for a peer that holds the given version and whose request was held for waited.
func (c *Cache) Answer(now time.Time, version uint64, waited time.Duration) (*update.Update, error) {
	a := &update.Update{Version: c.held.Version, Waited: waited}
	a.Age, a.Confirmed = c.lease.Age(now)
	if version >= c.held.Version {
		return a, nil
	}
	for _, s := range c.deltas {
		if s.from == version || len(a.Deltas) > 0 {
			a.Deltas = append(a.Deltas, s.body)
		}
	}
	if len(a.Deltas) > 0 {
		return a, nil
	}
	b, err := c.fullDelta()
	a.Deltas = [][]byte{b}
	return a, err
}

// ApplyUpdate applies the answer to a request sent at sent.
func (c *Cache) ApplyUpdate(now, sent time.Time, a *update.Update) error {
	if err := c.applyDeltas(a.Deltas); err != nil {
		return err
	}
	if a.Confirmed && c.held.Version >= a.Version {
		c.lease.ConfirmRelayed(sent, a.Waited, a.Age)
		c.serving = c.serving || c.lease.Fresh(now)
	}
	return c.publish(now)
}

// applyDeltas applies deltas in order and skips those that lead to a version no newer than the held one.
func (c *Cache) applyDeltas(deltas [][]byte) error {
	for _, b := range deltas {
		d, err := delta.Decode(b)
		if err != nil {
			return err
		}
		if d.To <= c.held.Version {
			continue
		}
		base := c.held
		if d.From == 0 {
			base = &configuration.Configuration{}
		}
		n, err := delta.Apply(base, d)
		if err != nil {
			return err
		}
		if err := c.hold(n, encodedDelta{d.From, d.To, b}); err != nil {
			return err
		}
	}
	return nil
}

// hold replaces the held version by a newer one and keeps the delta that led to it for peers.
func (c *Cache) hold(n *configuration.Configuration, s encodedDelta) error {
	if n.Version <= c.held.Version {
		return errors.AssertionFailedf("version %d after version %d", n.Version, c.held.Version)
	}
	if s.from != c.held.Version {
		c.deltas, c.deltaBytes = nil, 0
	}
	c.held = n
	c.deltas = append(c.deltas, s)
	c.deltaBytes += len(s.body)
	for len(c.deltas) > maxDeltas || c.deltaBytes > maxDeltaBytes && len(c.deltas) > 0 {
		c.deltaBytes -= len(c.deltas[0].body)
		c.deltas = c.deltas[1:]
	}
	return nil
}

// publish puts the held version in force once a version was confirmed or Delay has passed.
func (c *Cache) publish(now time.Time) error {
	if c.held.Version < c.published.Version {
		return errors.AssertionFailedf("version %d in force after %d", c.held.Version, c.published.Version)
	}
	if c.serving || now.Sub(c.start) >= c.Delay {
		c.serving = true
		c.published = c.held
	}
	return nil
}

// fullDelta returns the held version as a delta from the empty configuration.
func (c *Cache) fullDelta() ([]byte, error) {
	if c.full.to == c.held.Version {
		return c.full.body, nil
	}
	b, err := delta.Between(&configuration.Configuration{}, c.held).Encode()
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	c.full = encodedDelta{0, c.held.Version, b}
	return b, nil
}
