package view

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/bulletin"
	"siskinrun/internal/config/delta"
	"siskinrun/internal/config/freshness"
	"siskinrun/internal/data/configuration"
)

const (
	// Settle is how long a host that has just started waits for a confirmed version
	// before it serves open routes by the newest version that it has heard of.
	Settle = 5 * time.Second

	maxDeltas     = 256
	maxDeltaBytes = 4 << 20
)

// View is the newest version that a host knows, and how fresh it is.
type View struct {
	start     time.Time
	fresh     freshness.Freshness
	held      *configuration.Configuration
	published *configuration.Configuration
	opened    bool
	deltas    []step
	bytes     int
	whole     step
}

// step is an encoded delta between two versions.
type step struct {
	from, to uint64
	body     []byte
}

// NewView returns a view that knows nothing yet.
func NewView(start time.Time, lease time.Duration) *View {
	c := &configuration.Configuration{}
	return &View{
		start:     start,
		fresh:     freshness.Freshness{Lease: lease},
		held:      c,
		published: c,
	}
}

// Published returns the version that requests are served by.
func (v *View) Published() *configuration.Configuration {
	return v.published
}

// Held returns the number of the newest version that the host knows.
func (v *View) Held() uint64 {
	return v.held.Version
}

// Until returns when the host's lease on the configuration ends.
func (v *View) Until() time.Time {
	return v.fresh.Until()
}

// Age returns the time since the newest confirmation and whether there is one.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	return v.fresh.Age(now)
}

// Offer takes a version from the host's own replica.
func (v *View) Offer(now time.Time, c *configuration.Configuration) error {
	if c.Version > v.held.Version {
		b, err := delta.Between(v.held, c).Encode()
		if err != nil {
			return errors.Wrap(err, "encode delta")
		}
		if err := v.advance(c, step{v.held.Version, c.Version, b}); err != nil {
			return err
		}
	}
	return v.publish(now)
}

// Confirm takes a version that the own replica had after a quorum confirmed a question sent at sent.
func (v *View) Confirm(now, sent time.Time, c *configuration.Configuration) error {
	if err := v.Offer(now, c); err != nil {
		return err
	}
	v.fresh.Confirm(sent)
	v.opened = true
	return v.publish(now)
}

// Answer answers a host that holds a version and has waited.
func (v *View) Answer(now time.Time, version uint64, waited time.Duration) (*bulletin.Bulletin, error) {
	a := &bulletin.Bulletin{Version: v.held.Version, Waited: waited}
	a.Age, a.Confirmed = v.fresh.Age(now)
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
	b, err := v.all()
	a.Deltas = [][]byte{b}
	return a, err
}

// Learn takes the answer to a question that was sent at asked.
func (v *View) Learn(now, asked time.Time, a *bulletin.Bulletin) error {
	if err := v.follow(a.Deltas); err != nil {
		return err
	}
	if a.Confirmed && v.held.Version >= a.Version {
		v.fresh.Relay(asked, a.Waited, a.Age)
		v.opened = v.opened || v.fresh.Fresh(now)
	}
	return v.publish(now)
}

// follow applies deltas in order and skips those that lead to versions already held.
func (v *View) follow(deltas [][]byte) error {
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
		if err := v.advance(c, step{d.From, d.To, b}); err != nil {
			return err
		}
	}
	return nil
}

// advance holds a newer version and keeps the step that led to it.
func (v *View) advance(c *configuration.Configuration, s step) error {
	if c.Version <= v.held.Version {
		return errors.AssertionFailedf("version %d after version %d", c.Version, v.held.Version)
	}
	if s.from != v.held.Version {
		v.deltas, v.bytes = nil, 0
	}
	v.held = c
	v.deltas = append(v.deltas, s)
	v.bytes += len(s.body)
	for len(v.deltas) > maxDeltas || v.bytes > maxDeltaBytes && len(v.deltas) > 0 {
		v.bytes -= len(v.deltas[0].body)
		v.deltas = v.deltas[1:]
	}
	return nil
}

// publish puts the held version in force once it may be served by.
func (v *View) publish(now time.Time) error {
	if v.held.Version < v.published.Version {
		return errors.AssertionFailedf("version %d in force after %d", v.held.Version, v.published.Version)
	}
	if v.opened || now.Sub(v.start) >= Settle {
		v.opened = true
		v.published = v.held
	}
	return nil
}

// all returns the whole held version as one delta.
func (v *View) all() ([]byte, error) {
	if v.whole.to == v.held.Version {
		return v.whole.body, nil
	}
	b, err := delta.Between(&configuration.Configuration{}, v.held).Encode()
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	v.whole = step{0, v.held.Version, b}
	return b, nil
}
