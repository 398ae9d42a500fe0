package picker

import "github.com/cockroachdb/errors"

// Check returns an error if the state of the upstreams is inconsistent.
func (c *Picker) Check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, m := range c.members {
		if m.own < 0 || m.peers < 0 {
			return errors.Newf("picker: upstream %q has %d own and %d peer requests", name, m.own, m.peers)
		}
		if t, ok := c.tombstones[name]; ok && t.incarnation > m.upstream.Incarnation {
			return errors.Newf("picker: upstream %q returned under the old incarnation %d", name, m.upstream.Incarnation)
		}
	}
	for k, p := range c.pools {
		for _, m := range p.all {
			if m.upstream.Leaving {
				return errors.Newf("picker: upstream %q is leaving but still in the pool of service %q", m.upstream.Name, k.service)
			}
			if c.members[m.upstream.Name] != m {
				return errors.Newf("picker: upstream %q was replaced or removed but is still in the pool of service %q", m.upstream.Name, k.service)
			}
		}
	}
	return nil
}
