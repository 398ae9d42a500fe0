package server

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/config/keyauth"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/gossip"
	"siskinrun/internal/jobs/runner"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/state/proposal"
	"siskinrun/internal/wire/certificate"
)

func unknownHost(name string) error {
	return errors.Newf("the settings have no host named %q", name)
}

// keyWatcher looks up and watches API keys for the pipeline.
type keyWatcher struct {
	authenticator *keyauth.Authenticator
	group         *group.Group
}

// Key returns the granted key that an Authorization header names.
func (k *keyWatcher) Key(authorization []byte) (key.Key, error) {
	return k.authenticator.Key(authorization)
}

// Watch calls withdrawn if the key is withdrawn before stop is called.
func (k *keyWatcher) Watch(v key.Key, withdrawn func()) (stop func()) {
	gone, cancel := k.authenticator.Watch(v)
	ended := make(chan struct{})
	k.group.Go("watch-key", func(context.Context) error {
		select {
		case <-gone:
			withdrawn()
		case <-ended:
		}
		return nil
	})
	return func() {
		cancel()
		close(ended)
	}
}

// leadership returns the leadership of this host over a group, or none on a host without replicated state.
func (p *components) leadership(g uint32) leadership.Status {
	if p.control == nil {
		return leadership.Status{}
	}
	return p.control.Lead(g)
}

// leaderClient calls the leaders of groups for the rate limiter.
type leaderClient struct {
	client *proposal.Client
}

// CallLeader calls a method of a group's leader.
func (c leaderClient) CallLeader(ctx context.Context, g uint64, method string, body []byte) ([]byte, error) {
	return c.client.CallLeader(ctx, uint32(g), method, body)
}

// groupLeadership tells the rate limiter which groups this host leads.
type groupLeadership struct {
	components *components
}

// Lead returns the leadership of this host over a group.
func (l groupLeadership) Lead(g uint64) leadership.Status {
	return l.components.leadership(uint32(g))
}

// proposer is a proposal client that also knows which groups this host leads.
type proposer struct {
	*proposal.Client
	components *components
}

// Lead returns the leadership of this host over a group.
func (p proposer) Lead(g uint32) leadership.Status {
	return p.components.leadership(g)
}

// fleet shows hosts and upstreams to the executor of batch items.
type fleet struct {
	components *components
}

// Hosts returns the live hosts that may run batch items, this one among them where it may.
func (f fleet) Hosts() []host.Host {
	s := f.components.server
	if s.Settings.UsesSeeds() {
		return f.components.batchHosts()
	}
	l := []host.Host{}
	for n, d := range s.Settings.FailureDomains() {
		if n == s.Name || f.components.gossip.Alive(n) {
			l = append(l, host.Host{Name: n, FailureDomain: d})
		}
	}
	return l
}

// Upstreams returns the upstreams that take new work.
func (f fleet) Upstreams() []upstream.Upstream {
	return f.components.openUpstreams()
}

// Targets returns the targets whose batch items an upstream serves.
func (f fleet) Targets(u upstream.Upstream) []string {
	return f.components.directory.Targets(u)
}

// itemRoutes finds the routes of batch items for the executor.
type itemRoutes struct {
	*runner.Runner
	components *components
}

// Revision returns the version of the configuration in force and when a quorum last confirmed it, both zero if there is none.
func (r itemRoutes) Revision() (version uint64, confirmed time.Time) {
	d := r.components.distribution
	if a, ok := d.Age(); ok {
		confirmed = r.components.server.timer.Now().Add(-a)
	}
	return d.View().Version, confirmed
}

// slowLatencyRatio is the latency ratio from which the batch window of an upstream is divided by that ratio, since items
// take that much longer there.
const slowLatencyRatio = 2.5

// batchWindows limits the batch items on an upstream by the feedback on online calls.
type batchWindows struct {
	components *components
}

// Keep returns how many of the running batch items of an upstream may go on, 0 on an unreachable one.
func (w batchWindows) Keep(name string) int {
	if !w.components.picker.Reachable(name) {
		return 0
	}
	return w.components.batchLimiter.Keep(name, w.components.server.timer.Now())
}

// Window returns up to how many batch items may be started on an upstream now, 0 on an unreachable or evacuated one.
func (w batchWindows) Window(name string) int {
	if u, ok := w.components.upstream(name); ok && !w.components.evacuation.Open(u) || !w.components.picker.Reachable(name) {
		return 0
	}
	n := w.components.server.timer.Now()
	s := w.components.picker.LatencyRatio(name, n)
	if s < slowLatencyRatio {
		s = 1
	}
	return w.permitted(name, w.foreseen(name, int(float64(w.components.batchLimiter.Window(name, n))/s)))
}

// foreseen returns a window that leaves the slots that online calls are expected to need before a run ends, on an upstream
// that runs items whole.
func (w batchWindows) foreseen(name string, window int) int {
	p := w.components
	if !p.places.runsWhole(name) {
		return window
	}
	pressed := int(p.executor.Waiting() / pressedAfter)
	return min(window, p.places.room(name, p.batchLimiter.Slots(name), p.executor.RunTime(defaultRunTime))+pressed)
}

// permitted returns a window that leaves no item without a permit under the rate limit that the upstream names.
func (w batchWindows) permitted(name string, window int) int {
	n, limited := w.components.permits.BatchRoom(name)
	if !limited {
		return window
	}
	return min(window, w.components.inflight.Batch(name)+n)
}

// announcements passes the messages of upstreams to the gossip service.
type announcements struct {
	gossip *gossip.Service
}

// Announce records an announcement; an outdated one changes nothing.
func (a announcements) Announce(u upstream.Upstream) error {
	a.gossip.Announce(u)
	return nil
}

// Leave ends an incarnation of an upstream.
func (a announcements) Leave(name string, incarnation uint64) error {
	a.gossip.Leave(name, incarnation)
	return nil
}

// Report records a load report of an upstream.
func (a announcements) Report(r loadreport.Report) error {
	a.gossip.Report(r)
	return nil
}

// tlsConfigs returns the server and client configuration of one certificate in the settings.
func (p *components) tlsConfigs(c settings.Certificate, field string) (server, client *tls.Config, err error) {
	s := p.server
	path := func(name, file string) string {
		if file == "" {
			return ""
		}
		return s.Settings.ResolvePath(field+"."+name, file)
	}
	x := &certificate.Reloader{
		CertificateFile:          path("certificate-file", c.CertificateFile),
		KeyFile:                  path("key-file", c.KeyFile),
		CAFile:                   path("authority-file", c.CAFile),
		RequireClientCertificate: c.RequireClientCertificate,
		Timer:                    s.timer,
	}
	server, err = x.ServerConfig()
	if err != nil {
		return nil, nil, err
	}
	client, err = x.ClientConfig()
	return server, client, err
}
