package memberfeatures

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/state/identity"
)

// Table holds what the members of a group last reported, also those that are down and that the gossip has forgotten.
type Table struct {
	reports map[string]report
}

// report is what a run of a host reported.
type report struct {
	// Disk is the disk of the member, "" on hosts that don't follow the member configuration.
	Disk     string      `json:"disk"`
	Boot     uint64      `json:"boot"`
	Features feature.Set `json:"features"`
	// Unheard means that the member replaced another one of the same name and has not been seen alive since.
	Unheard bool `json:"unheard,omitempty"`
}

// NewTable returns a table without reports.
func NewTable() *Table {
	return &Table{reports: map[string]report{}}
}

// Decode replaces the reports with those that Encode wrote.
func (t *Table) Decode(b []byte) error {
	m := map[string]report{}
	if err := json.Unmarshal(b, &m); err != nil {
		return errors.Wrap(err, "decode the features of members")
	}
	t.reports = m
	return nil
}

// Encode returns the reports in a form that Decode reads.
func (t *Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t.reports)
	return b, errors.Wrap(err, "encode the features of members")
}

// Observe takes the reports of members over from the known hosts, forgets those of other hosts and reports whether anything
// changed.
func (t *Table) Observe(members []identity.Identity, hosts []gossipmessage.Host) bool {
	old := t.reports
	t.reports = make(map[string]report, len(members))
	known := make(map[string]gossipmessage.Host, len(hosts))
	for _, h := range hosts {
		known[h.Name] = h
	}
	for _, i := range members {
		h, heard := known[i.Host]
		if r, ok := merge(old, i, h, heard); ok {
			t.reports[i.Host] = r
		}
	}
	return !maps.Equal(old, t.reports)
}

// merge returns the report of a member, given the earlier ones and the state of its host in the gossip, if it is known.
func merge(old map[string]report, i identity.Identity, h gossipmessage.Host, heard bool) (report, bool) {
	r, ok := old[i.Host]
	heard = heard && h.Boot > 0 // a host that the settings list and that never reported has no boot
	n := report{Disk: i.Disk, Boot: h.Boot, Features: h.Features}
	switch {
	case ok && r.Disk != i.Disk && (!heard || h.Dead):
		// What is known comes from the member that this one replaced.
		return report{Disk: i.Disk, Boot: max(r.Boot, h.Boot), Unheard: true}, true
	case !heard:
		return r, ok
	case !ok || r.Disk != i.Disk || h.Boot > r.Boot:
		return n, true
	case h.Boot < r.Boot || r.Unheard && h.Dead:
		return r, true
	}
	n.Features |= r.Features // a host of an older build passes the record on without them
	return n, true
}

// Lacking returns the name of a member that did not report all features of a set, or "" if there is none.
func (t *Table) Lacking(members []identity.Identity, f feature.Set) string {
	for _, i := range members {
		if r, ok := t.reports[i.Host]; !ok || r.Disk != i.Disk || !r.Features.Has(f) {
			return i.Host
		}
	}
	return ""
}

// Hosts returns the members that have reports, without their disks.
func (t *Table) Hosts() []identity.Identity {
	l := make([]identity.Identity, 0, len(t.reports))
	for n := range t.reports {
		l = append(l, identity.Identity{Host: n})
	}
	return l
}
