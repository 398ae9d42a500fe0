package serve

import (
	"context"
	"crypto/tls"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/config/keyauth"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/gossip"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/state/proposal"
	"siskinrun/internal/wire/certificate"
)

func unknownHost(name string) error {
	return errors.Newf("the settings have no host named %q", name)
}

// keys watches keys for the pipe.
type keys struct {
	identify *keyauth.Authenticator
	group    *group.Group
}

// Key returns the granted key of an Authorization header.
func (k *keys) Key(authorization []byte) (key.Key, error) {
	return k.identify.Key(authorization)
}

// Watch calls withdrawn if the key is withdrawn before stop is called.
func (k *keys) Watch(v key.Key, withdrawn func()) (stop func()) {
	gone, cancel := k.identify.Watch(v)
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

// lead tells of the leadership of this host.
func (p *parts) lead(g uint32) leadership.Status {
	if p.control == nil {
		return leadership.Status{}
	}
	return p.control.Lead(g)
}

// groupCalls calls leaders for the grants.
type groupCalls struct {
	client *proposal.Client
}

// CallLeader calls a method of a group's leader.
func (c groupCalls) CallLeader(ctx context.Context, g uint64, method string, body []byte) ([]byte, error) {
	return c.client.CallLeader(ctx, uint32(g), method, body)
}

// groupLeads tells the grants which groups this host leads.
type groupLeads struct {
	parts *parts
}

// Lead tells of the leadership of a group.
func (l groupLeads) Lead(g uint64) leadership.Status {
	return l.parts.lead(uint32(g))
}

// proposer is a client that knows the leaderships of this host.
type proposer struct {
	*proposal.Client
	parts *parts
}

// Lead tells of the leadership of a group.
func (p proposer) Lead(g uint32) leadership.Status {
	return p.parts.lead(g)
}

// fleet shows hosts and upstreams to the driver of batch work.
type fleet struct {
	parts *parts
}

// Hosts returns the hosts that are alive, this one among them.
func (f fleet) Hosts() []host.Host {
	s := f.parts.serveHost
	if s.Settings.UsesSeeds() {
		return f.parts.drivers()
	}
	l := []host.Host{}
	for n, d := range s.Settings.FailureDomains() {
		if n == s.Name || f.parts.roster.Alive(n) {
			l = append(l, host.Host{Name: n, FailureDomain: d})
		}
	}
	return l
}

// Upstreams returns the upstreams that take new work.
func (f fleet) Upstreams() []upstream.Upstream {
	var l []upstream.Upstream
	for _, u := range f.parts.roster.Upstreams() {
		if !u.Leaving {
			l = append(l, u)
		}
	}
	return l
}

// Targets returns the routes whose items an upstream serves.
func (f fleet) Targets(u upstream.Upstream) []string {
	return f.parts.directory.Targets(u)
}

// slowUpstream is the slowness from which an upstream runs fewer batch items, which would take that much longer there.
const slowUpstream = 2.5

// windows bounds the batch items of an upstream by the feedback on online calls.
type windows struct {
	parts *parts
}

// Window returns how many batch items may run on an upstream now.
func (w windows) Window(name string) int {
	if !w.parts.choose.Reachable(name) {
		return 0
	}
	n := w.parts.serveHost.timer.Now()
	s := w.parts.choose.LatencyRatio(name, n)
	if s < slowUpstream {
		s = 1
	}
	return int(float64(w.parts.yield.Window(name, n)) / s)
}

// announced takes messages of upstreams into the roster.
type announced struct {
	roster *gossip.Service
}

// Announce takes an announcement; an outdated one changes nothing.
func (a announced) Announce(u upstream.Upstream) error {
	a.roster.Announce(u)
	return nil
}

// Leave ends an incarnation of an upstream.
func (a announced) Leave(name string, incarnation uint64) error {
	a.roster.Leave(name, incarnation)
	return nil
}

// Report takes the load of an upstream.
func (a announced) Report(r loadreport.Report) error {
	a.roster.Report(r)
	return nil
}

// tls returns the settings for listening and for dialling on one side.
func (p *parts) tls(c settings.Certificate, field string) (server, client *tls.Config, err error) {
	s := p.serveHost
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
