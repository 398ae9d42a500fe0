package permits

import (
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/ratelimit"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/routing/permitmessage"
)

// maxTransit is how long a message between hosts is taken to be on its way at the most. What another host heard may be
// that much older than it says.
const maxTransit = 250 * time.Millisecond

func encodeNews(now time.Time, l []upstreamlimit.Limit) ([]byte, error) {
	m := &permitmessage.News{}
	for _, k := range l {
		m.Limits = append(m.Limits, encodeLimit(now, k))
	}
	return proto.Marshal(m)
}

func encodeLimit(now time.Time, l upstreamlimit.Limit) *permitmessage.Limit {
	return &permitmessage.Limit{
		Upstream:               l.Upstream,
		Incarnation:            l.Incarnation,
		Named:                  l.Value.Named,
		PerSecond:              l.Value.PerSecond,
		SentAgeNanoseconds:     int64(now.Sub(l.Sent)),
		ReceivedAgeNanoseconds: int64(now.Sub(l.Received)),
		Host:                   l.Host,
	}
}

func decodeLimits(now time.Time, l []*permitmessage.Limit) []upstreamlimit.Limit {
	var out []upstreamlimit.Limit
	for _, m := range l {
		if k, ok := decodeLimit(now, m); ok {
			out = append(out, k)
		}
	}
	return out
}

// decodeLimit returns a limit and reports whether the message holds one.
func decodeLimit(now time.Time, m *permitmessage.Limit) (upstreamlimit.Limit, bool) {
	valid := m.GetUpstream() != "" && m.GetPerSecond() >= 0 && m.GetReceivedAgeNanoseconds() >= 0 &&
		m.GetSentAgeNanoseconds() >= m.GetReceivedAgeNanoseconds()
	if !valid {
		return upstreamlimit.Limit{}, false
	}
	return upstreamlimit.Limit{
		Upstream:    m.Upstream,
		Incarnation: m.Incarnation,
		Value:       ratelimit.Value{Named: m.Named, PerSecond: m.PerSecond},
		Sent:        now.Add(-time.Duration(m.SentAgeNanoseconds) - maxTransit),
		Received:    now.Add(-time.Duration(m.ReceivedAgeNanoseconds)),
		Host:        m.Host,
	}, true
}
