package configstore

import (
	"siskinrun/internal/config/delta"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/data/configuration"
)

const (
	// maxEvents and maxInverseBytes limit the versions that are kept for rollbacks and diffs.
	maxEvents       = 1024
	maxInverseBytes = 16 << 20
	// maxProblems is the number of problems that an outcome lists.
	maxProblems = 64
)

// event is one version and the delta that undoes it.
type event struct {
	Revision revision.Revision `json:"revision"`
	Inverse  *delta.Delta      `json:"back"`
	Size     int               `json:"size"`
}

// history holds the latest versions, oldest first, limited in number and bytes.
type history struct {
	events []event
	bytes  int
}

// add appends an event and drops the oldest ones beyond the limits.
func (h *history) add(e event) {
	b, err := e.Inverse.Encode()
	if err != nil {
		h.events, h.bytes = nil, 0
		return
	}
	e.Size = len(b)
	h.events = append(h.events, e)
	h.bytes += e.Size
	for len(h.events) > maxEvents || h.bytes > maxInverseBytes && len(h.events) > 0 {
		h.bytes -= h.events[0].Size
		h.events[0] = event{}
		h.events = h.events[1:]
	}
}

// newest returns at most limit revisions, newest first.
func (h *history) newest(limit int) []revision.Revision {
	l := []revision.Revision{}
	for i := len(h.events) - 1; i >= 0 && len(l) < limit; i-- {
		l = append(l, h.events[i].Revision)
	}
	return l
}

// since returns the first maxConflicts revisions after a version, each with at most maxConflictFields fields.
func (h *history) since(v uint64) []revision.Revision {
	var l []revision.Revision
	for _, e := range h.events {
		if e.Revision.Version <= v || len(l) == maxConflicts {
			continue
		}
		s := e.Revision
		s.Fields = s.Fields[:min(len(s.Fields), maxConflictFields)]
		l = append(l, s)
	}
	return l
}

// version rebuilds version v from now, the version in force, if the deltas back to v are kept.
func (h *history) version(now *configuration.Configuration, v uint64) (*configuration.Configuration, bool) {
	if v > now.Version {
		return nil, false
	}
	var inverses []*delta.Delta
	for i := len(h.events) - 1; i >= 0 && h.events[i].Revision.Version > v; i-- {
		inverses = append(inverses, h.events[i].Inverse)
	}
	c, err := delta.Apply(now, inverses...)
	return c, err == nil && c.Version == v
}
