package server

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// preferencesInterval is the time between two looks at the preferred upstreams, and preferencesLogInterval the least time between two
// log lines on them.
const (
	preferencesInterval    = time.Second
	preferencesLogInterval = 10 * time.Second
)

// preferences shows the use of preferred upstreams on the metrics page and logs when their number changes.
type preferences struct {
	size   int
	looked time.Time
	logged time.Time
}

// show updates the metrics if it is time.
func (f *preferences) show(p *components) {
	now := p.server.timer.Now()
	if !p.server.Settings.Fleet.PreferredUpstreams || now.Sub(f.looked) < preferencesInterval {
		return
	}
	f.looked = now
	preferred, others, size := p.picker.Preferences()
	r := p.childMetrics("preferred-upstreams")
	metrics.GetOrRegisterGauge("calls", r).Update(preferred)
	metrics.GetOrRegisterGauge("calls-to-others", r).Update(others)
	metrics.GetOrRegisterGauge("size", r).Update(int64(size))
	if size == f.size || now.Sub(f.logged) < preferencesLogInterval {
		return
	}
	f.size, f.logged = size, now
	p.server.Log.Info().Int("size", size).Int64("calls", preferred).Int64("calls-to-others", others).Msg("number of preferred upstreams changed")
}
