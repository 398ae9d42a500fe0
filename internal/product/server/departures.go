package server

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// departuresInterval is the time between two looks at the calls that leave the failure domain, and departuresLogInterval the least
// time between two log lines on it.
const (
	departuresInterval    = time.Second
	departuresLogInterval = 10 * time.Second
)

// departures shows the calls that leave the failure domain on the metrics page and logs when the reason changes.
type departures struct {
	reason   string
	looked   time.Time
	logged   time.Time
	registry metrics.Registry
}

// show updates the metrics if it is time.
func (d *departures) show(p *components) {
	now := p.server.timer.Now()
	if p.server.Settings.Fleet.DomainTraffic == nil || now.Sub(d.looked) < departuresInterval {
		return
	}
	d.looked = now
	calls, size, reason := p.picker.Departures()
	if reason == "" {
		return
	}
	if d.registry == nil {
		d.registry = p.childMetrics("domain-traffic")
	}
	all, away := int64(0), int64(0)
	for n, v := range calls {
		metrics.GetOrRegisterGauge("calls-to-"+n, d.registry).Update(v)
		all += v
		if n != p.host.FailureDomain {
			away += v
		}
	}
	metrics.GetOrRegisterGauge("bytes", d.registry).Update(away * size)
	if all > 0 {
		metrics.GetOrRegisterGaugeFloat64("share-sent", d.registry).Update(float64(away) / float64(all))
	}
	if reason == d.reason || now.Sub(d.logged) < departuresLogInterval {
		return
	}
	metrics.GetOrRegisterCounter("reason-"+reason, d.registry).Inc(1)
	d.reason, d.logged = reason, now
	p.server.Log.Info().Str("reason", reason).Int64("calls", all).Int64("calls-away", away).Msg("decision on leaving the failure domain changed")
}
