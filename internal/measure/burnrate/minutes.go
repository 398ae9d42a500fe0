package burnrate

import (
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/measure/burnreport"
)

// minute counts the online answers of an upstream in one minute and records whether batch calls ran.
type minute struct {
	number         int64
	answered, late uint32
	batch          bool
}

// markBatch marks the minutes in which a batch call ran.
func (t *Tracker) markBatch(r callrecord.Record) {
	end := r.EndedAt.Unix() / secondsPerMinute
	start := r.EndedAt.Add(-r.Total+r.Waited).Unix() / secondsPerMinute
	for n := max(start, end-minutesKept+1); n <= end; n++ {
		if m := t.minuteOf(r.Upstream, n); m != nil {
			m.batch = true
		}
	}
}

// minuteOf returns minute n of an upstream, or nil if it has been overwritten or the limit of upstreams is reached.
func (t *Tracker) minuteOf(upstream string, n int64) *minute {
	if upstream == "" {
		return nil
	}
	u := t.upstreams[upstream]
	if u == nil {
		if len(t.upstreams) >= maxUpstreams {
			t.evictIdleUpstreams(n)
		}
		if len(t.upstreams) >= maxUpstreams {
			return nil
		}
		u = &[minutesKept]minute{}
		t.upstreams[upstream] = u
	}
	m := &u[n%minutesKept]
	if m.number > n {
		return nil
	}
	if m.number < n {
		*m = minute{number: n}
	}
	return m
}

// evictIdleUpstreams removes upstreams without a call in the minutes kept.
func (t *Tracker) evictIdleUpstreams(now int64) {
	for name, u := range t.upstreams {
		idle := true
		for _, m := range u {
			idle = idle && m.number <= now-minutesKept
		}
		if idle {
			delete(t.upstreams, name)
		}
	}
}

func (t *Tracker) reportMinutes(now int64) []burnreport.Minute {
	var l []burnreport.Minute
	for name, u := range t.upstreams {
		for _, m := range u {
			if m.number <= now-minutesKept || m.answered == 0 && !m.batch {
				continue
			}
			l = append(l, burnreport.Minute{
				Upstream: name,
				Start:    m.number,
				Answered: int64(m.answered),
				Late:     int64(m.late),
				Batch:    m.batch,
			})
		}
	}
	return l
}
