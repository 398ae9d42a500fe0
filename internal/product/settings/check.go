package settings

import (
	"net"
	"path/filepath"
	"strconv"
	"time"

	"siskinrun/internal/config/validation"
	"siskinrun/internal/product/fault"
)

const (
	maxLedgerGroups   = 64
	minFreshnessLease = 3 * time.Second
	maxFreshnessLease = time.Minute
	maxDrain          = time.Hour
	maxRepair         = time.Hour
	maxLosses         = 3
	maxSlack          = 1 << 20
	maxHeartbeat      = time.Minute
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 1 << 20
	maxBodyBytes      = 1 << 30
	maxStoredFile     = 1 << 40
	maxConcurrency    = 1 << 20
	maxMemory         = 1 << 42
	maxReadTimeout    = time.Hour
	maxPort           = 1<<16 - 1
)

// check adds every fault that is wider than one field's type.
func (s *Settings) check(f *fault.List) {
	s.name(f, "site", s.Site)
	s.checkHosts(f)
	s.checkFleet(f)
	s.checkTLS(f)
	s.checkLimits(f)
	for _, p := range validation.Validate(s.Configuration()) {
		s.add(f, p.Field, "%s", p.Message)
	}
}

// add notes a fault unless the field could not even be read.
func (s *Settings) add(f *fault.List, field, format string, args ...any) {
	if s.broken[field] {
		return
	}
	d := s.root.Find(field)
	f.Add(d.File, d.Line, field, format, args...)
}

func (s *Settings) name(f *fault.List, field, n string) {
	if n == "" {
		s.add(f, field, "is missing")
		return
	}
	if m := validation.CheckName(n); m != "" {
		s.add(f, field, "%s", m)
	}
}

func (s *Settings) checkHosts(f *fault.List) {
	if len(s.Fleet.Hosts) == 0 {
		s.add(f, "fleet.hosts", "must name at least one host")
		return
	}
	addresses := map[string]string{}
	folders := map[string]string{}
	for _, n := range s.hosts() {
		h := s.Fleet.Hosts[n]
		p := "fleet.hosts." + n
		s.name(f, p, n)
		s.name(f, p+".failure-domain", h.FailureDomain)
		s.checkAddresses(f, p, h, addresses)
		for _, k := range h.Keeps {
			if k != KeepsConfiguration && k != KeepsLedgers {
				s.add(f, p+".keeps", "%q is neither %s nor %s", k, KeepsConfiguration, KeepsLedgers)
			}
		}
		s.folder(f, p+".data-folder", h.DataFolder, folders)
	}
	s.checkSeeds(f)
	if len(folders) == 0 && !s.Joining() {
		s.add(f, "fleet.hosts", "at least one host needs a data-folder")
	}
}

// checkAddresses checks the addresses of one host; in a dialect a host may serve callers or control alone.
func (s *Settings) checkAddresses(f *fault.List, p string, h Host, seen map[string]string) {
	for _, a := range []struct {
		field, address string
		optional       bool
	}{
		{"callers", h.Callers, s.Fleet.Dialect != ""},
		{"upstreams", h.Upstreams, s.Fleet.Dialect != ""},
		{"operators", h.Operators, false},
		{"peers", h.Peers, false},
		{"readiness", h.Readiness, true},
		{"control", h.Control, true},
		{"metrics", h.Metrics, true},
	} {
		if a.address != "" || !a.optional {
			s.address(f, p+"."+a.field, a.address, seen)
		}
	}
}

// checkSeeds checks how hosts find each other that the settings do not list.
func (s *Settings) checkSeeds(f *fault.List) {
	for _, a := range s.Fleet.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			s.add(f, "fleet.seeds", "%q is not an address with a port, such as 10.1.0.9:7301", a)
		}
	}
	if !s.Joining() {
		return
	}
	for n, h := range s.Fleet.Hosts {
		if ip, _, err := net.SplitHostPort(h.Peers); err == nil && ip != n {
			s.add(f, "fleet.hosts."+n, "must be named by its peers' address, %s, where there are seeds", ip)
		}
	}
}

func (s *Settings) address(f *fault.List, field, a string, seen map[string]string) {
	if a == "" {
		s.add(f, field, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(a)
	n, bad := strconv.Atoi(port)
	if err != nil || bad != nil || n < 1 || n > maxPort || host == "" {
		s.add(f, field, "%q is not an address with a port, such as 127.0.0.1:7301", a)
		return
	}
	if o, ok := seen[a]; ok {
		s.add(f, field, "%s is taken by %s", a, o)
		return
	}
	seen[a] = field
}

func (s *Settings) folder(f *fault.List, field, d string, seen map[string]string) {
	if d == "" {
		return
	}
	d = filepath.Clean(d)
	if o, ok := seen[d]; ok {
		s.add(f, field, "%s is taken by %s", d, o)
		return
	}
	seen[d] = field
}

func (s *Settings) checkFleet(f *fault.List) {
	for _, e := range []struct{ field, path string }{
		{"fleet.peer-secret-file", s.Fleet.PeerSecretFile},
		{"fleet.upstream-secret-file", s.Fleet.UpstreamSecretFile},
		{"fleet.operator-secret-file", s.Fleet.OperatorSecretFile},
	} {
		if e.path == "" && !s.Fleet.TrustedNetwork {
			s.add(f, e.field, "is missing")
		}
	}
	s.bound(f, "fleet.ledger-groups", int64(s.Fleet.LedgerGroups), 1, maxLedgerGroups)
	s.span(f, "fleet.freshness-lease", s.Fleet.FreshnessLease.Duration(), minFreshnessLease, maxFreshnessLease)
	s.bound(f, "fleet.losses", int64(s.Fleet.Losses), 0, maxLosses)
	s.span(f, "fleet.drain", s.Fleet.Drain.Duration(), 0, maxDrain)
	s.span(f, "fleet.repair", s.Fleet.Repair.Duration(), 0, maxRepair)
	s.span(f, "fleet.heartbeat", s.Fleet.Heartbeat.Duration(), 0, maxHeartbeat)
	s.span(f, "fleet.stop-timeout", s.Fleet.StopTimeout.Duration(), 0, maxDrain)
	s.weight(f, "fleet.rate-overrun", s.Fleet.RateOverrun)
	s.span(f, "fleet.rate-window", s.Fleet.RateWindow.Duration(), 0, time.Minute)
	s.bound(f, "fleet.rate-slack", s.Fleet.RateSlack, 0, maxSlack)
	s.weight(f, "fleet.weights.batch-throughput", s.Fleet.Weights.BatchThroughput)
	s.weight(f, "fleet.weights.online-tail", s.Fleet.Weights.OnlineTail)
	s.weight(f, "fleet.weights.locality", s.Fleet.Weights.Locality)
	s.weight(f, "fleet.weights.worst-team", s.Fleet.Weights.WorstTeam)
}

func (s *Settings) checkTLS(f *fault.List) {
	t := s.Fleet.TLS
	s.certificate(f, "fleet.tls.callers", t.Callers)
	s.certificate(f, "fleet.tls.upstreams", t.Upstreams)
	s.certificate(f, "fleet.tls.operators", t.Operators)
	s.certificate(f, "fleet.tls.peers", t.Peers)
}

func (s *Settings) certificate(f *fault.List, field string, c Certificate) {
	if (c.CertificateFile == "") != (c.KeyFile == "") {
		s.add(f, field, "needs both a certificate-file and a key-file, or neither")
	}
	if c.Mutual && (c.AuthorityFile == "" || c.CertificateFile == "") {
		s.add(f, field+".mutual", "needs a certificate-file and an authority-file")
	}
}

func (s *Settings) checkLimits(f *fault.List) {
	l := s.Limits
	s.bound(f, "limits.header-bytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes)
	s.bound(f, "limits.body-bytes", int64(l.BodyBytes), 1, maxBodyBytes)
	s.bound(f, "limits.file-bytes", l.FileBytes, 1, maxStoredFile)
	s.bound(f, "limits.memory-bytes", l.MemoryBytes, 0, maxMemory)
	s.bound(f, "limits.concurrency", int64(l.Concurrency), 1, maxConcurrency)
	s.span(f, "limits.connect-timeout", l.ConnectTimeout.Duration(), time.Millisecond, maxReadTimeout)
	s.span(f, "limits.stream-silence", l.StreamSilence.Duration(), time.Millisecond, maxReadTimeout)
	s.span(f, "limits.read-timeout", l.ReadTimeout.Duration(), time.Millisecond, maxReadTimeout)
}

func (s *Settings) bound(f *fault.List, field string, v, low, high int64) {
	if v < low || v > high {
		s.add(f, field, "is %d, not %d to %d", v, low, high)
	}
}

func (s *Settings) span(f *fault.List, field string, v, low, high time.Duration) {
	if v < low || v > high {
		s.add(f, field, "is %s, not %s to %s", v, low, high)
	}
}

func (s *Settings) weight(f *fault.List, field string, v float64) {
	if v < 0 || v > 1 {
		s.add(f, field, "is %v, not 0 to 1", v)
	}
}
