package ejection

// Clone returns a copy of the detector that shares no state with it.
func (e *Detector) Clone() *Detector {
	k := *e
	k.services = make(map[string]*service, len(e.services))
	k.members = make(map[string]*member, len(e.members))
	copies := make(map[*member]*member, len(e.members))
	for n, s := range e.services {
		o := *s
		o.latencies = nil
		o.members = make([]*member, len(s.members))
		for i, m := range s.members {
			c := *m
			c.service = &o
			o.members[i], copies[m] = &c, &c
		}
		k.services[n] = &o
	}
	for n, m := range e.members {
		k.members[n] = copies[m]
	}
	return &k
}
