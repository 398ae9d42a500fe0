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

	maxDeltas     = 256
	maxDeltaBytes = 4 << 20
)

// Cache holds the newest version known to a host, the version in force on it and their freshness.
type Cache struct {
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
		start:     start,
		lease:     freshness.Freshness{Lease: lease},
		held:      c,
		published: c,
	}
}

// Published returns the version in force, under which requests are served.
func (v *Cache) Published() *configuration.Configuration {
	return v.published
}

// HeldVersion returns the number of the newest version that the host holds.
func (v *Cache) HeldVersion() uint64 {
	return v.held.Version
}

// LeaseEnd returns when the host's lease on the configuration ends.
func (v *Cache) LeaseEnd() time.Time {
	return v.lease.Until()
}

// Age returns the time since the newest confirmation and whether there is one.
func (v *Cache) Age(now time.Time) (time.Duration, bool) {
	return v.lease.Age(now)
}

// ApplyLocal adds a version from the host's own replica.
func (v *Cache) ApplyLocal(now time.Time, c *configuration.Configuration) error {
	if c.Version > v.held.Version {
		b, err := delta.Between(v.held, c).Encode()
		if err != nil {
			return errors.Wrap(err, "encode delta")
		}
		if err := v.hold(c, encodedDelta{v.held.Version, c.Version, b}); err != nil {
			return err
		}
	}
	return v.publish(now)
}

// Confirm adds a version that the host's own replica held after a quorum answered a confirmation request sent at sent.
func (v *Cache) Confirm(now, sent time.Time, c *configuration.Configuration) error {
	if err := v.ApplyLocal(now, c); err != nil {
		return err
	}
	v.lease.Confirm(sent)
	v.serving = true
	return v.publish(now)
}

// Answer returns the update for a peer that holds the given version and whose request was held for waited.
func (v *Cache) Answer(now time.Time, version uint64, waited time.Duration) (*update.Update, error) {
	a := &update.Update{Version: v.held.Version, Waited: waited}
	a.Age, a.Confirmed = v.lease.Age(now)
	if version >= v.held.Version {
		return a, nil
	}
	for _, s := range v.deltas {
		if s.from == version || len(a.Deltas) > 0 {
			a.Deltas = append(a.Deltas, s.body)
		}
	}
	if len(a.Deltas) > 0 {
		return a, nil
	}
	b, err := v.fullDelta()
	a.Deltas = [][]byte{b}
	return a, err
}

// ApplyUpdate applies the answer to a request sent at sent.
func (v *Cache) ApplyUpdate(now, sent time.Time, a *update.Update) error {
	if err := v.applyDeltas(a.Deltas); err != nil {
		return err
	}
	if a.Confirmed && v.held.Version >= a.Version {
		v.lease.ConfirmRelayed(sent, a.Waited, a.Age)
		v.serving = v.serving || v.lease.Fresh(now)
	}
	return v.publish(now)
}

// applyDeltas applies deltas in order and skips those that lead to a version no newer than the held one.
func (v *Cache) applyDeltas(deltas [][]byte) error {
	for _, b := range deltas {
		d, err := delta.Decode(b)
		if err != nil {
			return err
		}
		if d.To <= v.held.Version {
			continue
		}
		base := v.held
		if d.From == 0 {
			base = &configuration.Configuration{}
		}
		c, err := delta.Apply(base, d)
		if err != nil {
			return err
		}
		if err := v.hold(c, encodedDelta{d.From, d.To, b}); err != nil {
			return err
		}
	}
	return nil
}

// hold replaces the held version by a newer one and keeps the delta that led to it for peers.
func (v *Cache) hold(c *configuration.Configuration, s encodedDelta) error {
	if c.Version <= v.held.Version {
		return errors.AssertionFailedf("version %d after version %d", c.Version, v.held.Version)
	}
	if s.from != v.held.Version {
		v.deltas, v.deltaBytes = nil, 0
	}
	v.held = c
	v.deltas = append(v.deltas, s)
	v.deltaBytes += len(s.body)
	for len(v.deltas) > maxDeltas || v.deltaBytes > maxDeltaBytes && len(v.deltas) > 0 {
		v.deltaBytes -= len(v.deltas[0].body)
		v.deltas = v.deltas[1:]
	}
	return nil
}

// publish puts the held version in force once a version was confirmed or StartupDelay has passed.
func (v *Cache) publish(now time.Time) error {
	if v.held.Version < v.published.Version {
		return errors.AssertionFailedf("version %d in force after %d", v.held.Version, v.published.Version)
	}
	if v.serving || now.Sub(v.start) >= StartupDelay {
		v.serving = true
		v.published = v.held
	}
	return nil
}

// fullDelta returns the held version as a delta from the empty configuration.
func (v *Cache) fullDelta() ([]byte, error) {
	if v.full.to == v.held.Version {
		return v.full.body, nil
	}
	b, err := delta.Between(&configuration.Configuration{}, v.held).Encode()
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	v.full = encodedDelta{0, v.held.Version, b}
	return b, nil
}
