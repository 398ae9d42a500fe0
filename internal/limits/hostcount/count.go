package hostcount

// Count counts the hosts that a host reaches against those that it has reached at the same time before. Its zero value has seen
// none.
type Count struct {
	// most is the most hosts that were seen at a time, less those that left on purpose since.
	most int
	seen map[string]bool
	// missing are the hosts that were seen and are not any more, until as many as before are seen again.
	missing map[string]bool
	// left are the hosts that were taken out of most since they left on purpose. They count again once they are back.
	left map[string]bool
}

// Observe applies the hosts that are seen now. stopped returns the hosts that leave or have left on purpose.
func (c *Count) Observe(names []string, stopped func() map[string]bool) {
	now := make(map[string]bool, len(names))
	for _, n := range names {
		now[n] = true
		delete(c.missing, n)
	}
	for n := range c.seen {
		if !now[n] {
			if c.missing == nil {
				c.missing = map[string]bool{}
			}
			c.missing[n] = true
		}
	}
	c.seen = now
	for n := range c.left {
		if now[n] {
			delete(c.left, n)
			c.most++
		}
	}
	if len(now) >= c.most {
		c.most = len(now)
		clear(c.missing)
		clear(c.left)
	}
	if len(c.missing) == 0 {
		return
	}
	left := stopped()
	for n := range c.missing {
		if left[n] {
			delete(c.missing, n)
			if c.most > len(now) {
				c.most--
				c.leave(n)
			}
		}
	}
}

func (c *Count) leave(name string) {
	if c.left == nil {
		c.left = map[string]bool{}
	}
	c.left[name] = true
}

// Missing returns the number of hosts that were seen and are not any more.
func (c *Count) Missing() int {
	return len(c.missing)
}

// Minority reports whether as many hosts as are seen, or more, may be on another side of a partition.
func (c *Count) Minority() bool {
	return 2*len(c.seen) <= c.most
}
