package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/gossipwire"
)

func encode(n gossipmessage.Message) ([]byte, error) {
	m := &gossipwire.News{From: n.From, Fingerprint: n.Fingerprint, Sequences: n.Sequences, Mismatch: n.Mismatch}
	for _, h := range n.Hosts {
		m.Hosts = append(m.Hosts, encodeHost(h))
	}
	for _, a := range n.Announcements {
		m.Announcements = append(m.Announcements, encodeAnnouncement(a))
	}
	for _, r := range n.Reports {
		m.Reports = append(m.Reports, &gossipwire.Report{
			Origin:         encodeOrigin(r.Origin),
			AgeNanoseconds: int64(r.Age),
			Upstream:       r.Report.Upstream,
			Incarnation:    r.Report.Incarnation,
			Running:        int64(r.Report.Running),
			Waiting:        int64(r.Report.Waiting),
			CacheUsed:      int64(r.Report.CacheUsed),
		})
	}
	for _, c := range n.Counts {
		m.Counts = append(m.Counts, &gossipwire.Count{
			Origin:         encodeOrigin(c.Origin),
			AgeNanoseconds: int64(c.Age),
			Upstream:       c.Upstream,
			InFlight:       int64(c.InFlight),
			Batch:          int64(c.Batch),

			Pace:               int64(c.Pace),
			PaceAgeNanoseconds: int64(c.PaceAge),
		})
	}
	for _, o := range n.Occupancies {
		m.Occupancies = append(m.Occupancies, encodeOccupancy(o))
	}
	return proto.Marshal(m)
}

// decode decodes the news of a peer.
func decode(b []byte) (gossipmessage.Message, error) {
	m := &gossipwire.News{}
	if err := proto.Unmarshal(b, m); err != nil {
		return gossipmessage.Message{}, errors.Wrap(err, "decode news")
	}
	n := gossipmessage.Message{From: m.From, Fingerprint: m.Fingerprint, Sequences: m.Sequences, Mismatch: m.Mismatch}
	for _, h := range m.Hosts {
		n.Hosts = append(n.Hosts, gossipmessage.Host{
			Name:          h.Name,
			FailureDomain: h.FailureDomain,
			Boot:          h.Boot,
			Refutation:    h.Refutation,
			Dead:          h.Dead,
			Sequence:      h.Sequence,
			Label:         h.Label,
			Control:       h.Control,
			Ledgers:       h.Ledgers,
			Stopping:      h.Stopping,
			Replica:       h.Replica,
			Features:      feature.Set(h.Features),
		})
	}
	for _, a := range m.Announcements {
		// A host of an older build may pass on what names no upstream to use.
		if d := decodeAnnouncement(a); d.Upstream.Check() == nil {
			n.Announcements = append(n.Announcements, d)
		}
	}
	for _, r := range m.Reports {
		n.Reports = append(n.Reports, decodeReport(r))
	}
	for _, c := range m.Counts {
		n.Counts = append(n.Counts, gossipmessage.Count{
			Origin:   decodeOrigin(c.Origin),
			Age:      time.Duration(c.AgeNanoseconds),
			Upstream: c.Upstream,
			InFlight: int(c.InFlight),
			Batch:    int(c.Batch),
			Pace:     int(c.Pace),
			PaceAge:  time.Duration(c.PaceAgeNanoseconds),
		})
	}
	for _, o := range m.Occupancies {
		n.Occupancies = append(n.Occupancies, decodeOccupancy(o))
	}
	return n, nil
}

func encodeOccupancy(o gossipmessage.Occupancy) *gossipwire.Occupancy {
	return &gossipwire.Occupancy{
		Upstream:       o.Upstream,
		AgeNanoseconds: int64(o.Age),
		Online:         int64(o.Online),
		Batch:          int64(o.Batch),

		Pace:               int64(o.Pace),
		PaceAgeNanoseconds: int64(o.PaceAge),
	}
}

func decodeOccupancy(o *gossipwire.Occupancy) gossipmessage.Occupancy {
	return gossipmessage.Occupancy{
		Upstream: o.Upstream,
		Age:      time.Duration(o.AgeNanoseconds),
		Online:   int(o.Online),
		Batch:    int(o.Batch),
		Pace:     int(o.Pace),
		PaceAge:  time.Duration(o.PaceAgeNanoseconds),
	}
}

func encodeOrigin(o gossipmessage.Origin) *gossipwire.Origin {
	return &gossipwire.Origin{Host: o.Host, Boot: o.Boot, Sequence: o.Sequence}
}

func decodeOrigin(o *gossipwire.Origin) gossipmessage.Origin {
	return gossipmessage.Origin{Host: o.GetHost(), Boot: o.GetBoot(), Sequence: o.GetSequence()}
}

func encodeHost(h gossipmessage.Host) *gossipwire.Host {
	return &gossipwire.Host{
		Name:          h.Name,
		FailureDomain: h.FailureDomain,
		Boot:          h.Boot,
		Refutation:    h.Refutation,
		Dead:          h.Dead,
		Sequence:      h.Sequence,
		Label:         h.Label,
		Control:       h.Control,
		Ledgers:       h.Ledgers,
		Stopping:      h.Stopping,
		Replica:       h.Replica,
		Features:      uint64(h.Features),
	}
}

func encodeAnnouncement(a gossipmessage.Announcement) *gossipwire.Announcement {
	u := a.Upstream
	return &gossipwire.Announcement{
		Origin:         encodeOrigin(a.Origin),
		AgeNanoseconds: int64(a.Age),
		Name:           u.Name,
		Address:        u.Address,
		FailureDomain:  u.FailureDomain,
		Kind:           u.Kind,
		Service:        u.Service,
		Models:         u.Models,
		Role:           u.Role,
		Slots:          int64(u.Slots),
		Fencing:        u.Fencing,
		Incarnation:    u.Incarnation,
		Leaving:        u.Leaving,
		Beat:           u.Sequence,
		Version:        u.Version,

		ColdNanoseconds: int64(u.Cold),
	}
}

func decodeAnnouncement(a *gossipwire.Announcement) gossipmessage.Announcement {
	return gossipmessage.Announcement{
		Origin: decodeOrigin(a.Origin),
		Age:    time.Duration(a.AgeNanoseconds),
		Upstream: upstream.Upstream{
			Name:          a.Name,
			Address:       a.Address,
			FailureDomain: a.FailureDomain,
			Kind:          a.Kind,
			Service:       a.Service,
			Models:        a.Models,
			Role:          a.Role,
			Slots:         int(a.Slots),
			Fencing:       a.Fencing,
			Incarnation:   a.Incarnation,
			Leaving:       a.Leaving,
			Sequence:      a.Beat,
			Version:       a.Version,
			Cold:          duration.Duration(a.ColdNanoseconds),
		},
	}
}

func decodeReport(r *gossipwire.Report) gossipmessage.Report {
	return gossipmessage.Report{
		Origin: decodeOrigin(r.Origin),
		Age:    time.Duration(r.AgeNanoseconds),
		Report: loadreport.Report{
			Upstream:    r.Upstream,
			Incarnation: r.Incarnation,
			Running:     int(r.Running),
			Waiting:     int(r.Waiting),
			CacheUsed:   int(r.CacheUsed),
		},
	}
}
