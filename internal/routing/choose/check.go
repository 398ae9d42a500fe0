package choose

import "github.com/cockroachdb/errors"

// Check returns an error if what is known of the upstreams contradicts itself.
func (c *Choose) Check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, m := range c.members {
		if m.own < 0 || m.peers < 0 {
			return errors.Newf("choose: %s has %d own and %d peers' requests", name, m.own, m.peers)
		}
		if t, ok := c.gone[name]; ok && t.incarnation > m.upstream.Incarnation {
			return errors.Newf("choose: %s is back under the old incarnation %d", name, m.upstream.Incarnation)
		}
	}
	for k, p := range c.pools {
		for _, m := range p.all {
			if m.upstream.Leaving {
				return errors.Newf("choose: %s is leaving and still in the pool of %s", m.upstream.Name, k.service)
			}
			if c.members[m.upstream.Name] != m {
				return errors.Newf("choose: %s is void and still in the pool of %s", m.upstream.Name, k.service)
			}
		}
	}
	return nil
}
