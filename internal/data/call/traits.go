package call

import "siskinrun/internal/data/crashevidence"

// Traits returns what the call may share with others that make upstreams crash: the parts of its prompt and the whole
// request. A batch item has none: it is owed whatever becomes of its upstreams.
func (c *Call) Traits() []crashevidence.Trait {
	if c.Batch {
		return nil
	}
	l := make([]crashevidence.Trait, 0, len(c.Parts)+1)
	for _, p := range c.Parts {
		l = append(l, crashevidence.Trait{Hash: p})
	}
	if c.Digest != 0 {
		l = append(l, crashevidence.Trait{Hash: c.Digest, Request: true})
	}
	return l
}
