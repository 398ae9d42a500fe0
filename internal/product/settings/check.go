package settings

import (
	"net"
	"path/filepath"
	"strconv"
	"time"

	"siskinrun/internal/config/validation"
	"siskinrun/internal/product/diagnostic"
)

const (
	maxLedgerGroups   = 64
	minFreshnessLease = 3 * time.Second
	maxFreshnessLease = time.Minute
	maxDrainTime      = time.Hour
	maxRepairAfter    = time.Hour
	maxDiskLosses     = 3
	maxRateSlack      = 1 << 20
	// maxDomainTraffic bounds the cost of a gigabyte between failure domains: a call of 3 kB then costs a third of its worth.
	maxDomainTraffic     = 100000
	maxColdOverrun       = 100
	maxColdSlack         = 10000
	maxHeartbeatInterval = time.Minute
	minHeaderBytes       = 1 << 10
	maxHeaderBytes       = 1 << 20
	maxBodyBytes         = 1 << 30
	maxUploadBytes       = 1 << 40
	maxConcurrency       = 1 << 20
	maxMemoryBytes       = 1 << 42
	minHeaderLines       = 32
	maxHeaderLines       = 1 << 16
	minDescriptors       = 2 * fileDescriptors
	maxDescriptors       = 1 << 24
	maxTimeout           = time.Hour
	maxPort              = 1<<16 - 1
)

// check adds every error that decoding by the types of the fields does not find.
func (s *Settings) check(f *diagnostic.List) {
	s.checkName(f, "site", s.Site)
	s.checkHosts(f)
	s.checkFleet(f)
	s.checkTLS(f)
	s.checkLimits(f)
	for _, p := range validation.Validate(s.Configuration()) {
		s.addDiagnostic(f, p.Field, "%s", p.Message)
	}
}

// addDiagnostic adds an error unless the field already failed to decode.
func (s *Settings) addDiagnostic(f *diagnostic.List, field, format string, args ...any) {
	if s.undecoded[field] {
		return
	}
	d := s.document.Find(field)
	f.Add(d.File, d.Line, field, format, args...)
}

func (s *Settings) checkName(f *diagnostic.List, field, n string) {
	if n == "" {
		s.addDiagnostic(f, field, "is missing")
		return
	}
	if m := validation.CheckName(n); m != "" {
		s.addDiagnostic(f, field, "%s", m)
	}
}

func (s *Settings) checkHosts(f *diagnostic.List) {
	if len(s.Fleet.Hosts) == 0 {
		s.addDiagnostic(f, "fleet.hosts", "must name at least one host")
		return
	}
	addresses := map[string]string{}
	folders := map[string]string{}
	for _, n := range s.hostNames() {
		h := s.Fleet.Hosts[n]
		p := "fleet.hosts." + n
		s.checkName(f, p, n)
		s.checkName(f, p+".failure-domain", h.FailureDomain)
		s.checkAddresses(f, p, h, addresses)
		for _, k := range h.Keeps {
			if k != KeepsConfiguration && k != KeepsLedgers {
				s.addDiagnostic(f, p+".keeps", "%q is neither %s nor %s", k, KeepsConfiguration, KeepsLedgers)
			}
		}
		s.checkFolder(f, p+".data-folder", h.DataFolder, folders)
	}
	s.checkSeeds(f)
	if len(folders) == 0 && !s.UsesSeeds() {
		s.addDiagnostic(f, "fleet.hosts", "at least one host needs a data-folder")
	}
}

// checkAddresses checks the addresses of one host. With a dialect the callers' and upstreams' addresses are optional,
// since a host may serve callers or control alone.
func (s *Settings) checkAddresses(f *diagnostic.List, p string, h Host, seen map[string]string) {
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
			s.checkAddress(f, p+"."+a.field, a.address, seen)
		}
	}
}

// checkSeeds checks the seeds, and that hosts that join through them are named by the IP address of their peers' address.
func (s *Settings) checkSeeds(f *diagnostic.List) {
	for _, a := range s.Fleet.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			s.addDiagnostic(f, "fleet.seeds", "%q is not an address with a port, such as 10.1.0.9:7301", a)
		}
	}
	if !s.UsesSeeds() {
		return
	}
	for n, h := range s.Fleet.Hosts {
		if ip, _, err := net.SplitHostPort(h.Peers); err == nil && ip != n {
			s.addDiagnostic(f, "fleet.hosts."+n, "must be named by the IP address of its peers' address, %s, in a fleet with seeds", ip)
		}
	}
}

func (s *Settings) checkAddress(f *diagnostic.List, field, a string, seen map[string]string) {
	if a == "" {
		s.addDiagnostic(f, field, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(a)
	n, bad := strconv.Atoi(port)
	if err != nil || bad != nil || n < 1 || n > maxPort || host == "" {
		s.addDiagnostic(f, field, "%q is not an address with a port, such as 127.0.0.1:7301", a)
		return
	}
	if o, ok := seen[a]; ok {
		s.addDiagnostic(f, field, "%s is already used by %s", a, o)
		return
	}
	seen[a] = field
}

func (s *Settings) checkFolder(f *diagnostic.List, field, d string, seen map[string]string) {
	if d == "" {
		return
	}
	d = filepath.Clean(d)
	if o, ok := seen[d]; ok {
		s.addDiagnostic(f, field, "%s is already used by %s", d, o)
		return
	}
	seen[d] = field
}

func (s *Settings) checkFleet(f *diagnostic.List) {
	for _, e := range []struct{ field, path string }{
		{"fleet.peer-secret-file", s.Fleet.PeerSecretFile},
		{"fleet.upstream-secret-file", s.Fleet.UpstreamSecretFile},
		{"fleet.operator-secret-file", s.Fleet.OperatorSecretFile},
	} {
		if e.path == "" && !s.Fleet.TrustedNetwork {
			s.addDiagnostic(f, e.field, "is missing")
		}
	}
	s.checkFailureDomains(f)
	s.checkInt(f, "fleet.ledger-groups", int64(s.Fleet.LedgerGroups), 1, maxLedgerGroups)
	s.checkDuration(f, "fleet.freshness-lease", s.Fleet.FreshnessLease.Duration(), minFreshnessLease, maxFreshnessLease)
	s.checkInt(f, "fleet.losses", int64(s.Fleet.MaxDiskLosses), 0, maxDiskLosses)
	s.checkDuration(f, "fleet.drain", s.Fleet.DrainTime.Duration(), 0, maxDrainTime)
	s.checkDuration(f, "fleet.repair", s.Fleet.RepairAfter.Duration(), 0, maxRepairAfter)
	s.checkDuration(f, "fleet.heartbeat", s.Fleet.HeartbeatInterval.Duration(), 0, maxHeartbeatInterval)
	s.checkDuration(f, "fleet.stop-timeout", s.Fleet.StopTimeout.Duration(), 0, maxDrainTime)
	s.checkDuration(f, "fleet.stop-grace", s.Fleet.StopGrace.Duration(), 0, maxDrainTime)
	s.checkShare(f, "fleet.rate-overrun", s.Fleet.RateOverrun)
	s.checkDuration(f, "fleet.rate-window", s.Fleet.RateWindow.Duration(), 0, time.Minute)
	s.checkInt(f, "fleet.rate-slack", s.Fleet.RateSlack, 0, maxRateSlack)
	if t := s.Fleet.DomainTraffic; t != nil && !(*t >= 0 && *t <= maxDomainTraffic) {
		s.addDiagnostic(f, "fleet.domain-traffic", "is %v, not 0 to %d", *t, maxDomainTraffic)
	}
	s.checkRange(f, "fleet.cold-overrun", s.Fleet.ColdOverrun, maxColdOverrun)
	s.checkRange(f, "fleet.cold-slack", s.Fleet.ColdSlack, maxColdSlack)
	s.checkShare(f, "fleet.weights.batch-throughput", s.Fleet.Weights.BatchThroughput)
	s.checkShare(f, "fleet.weights.online-tail", s.Fleet.Weights.OnlineTail)
	s.checkShare(f, "fleet.weights.locality", s.Fleet.Weights.Locality)
	s.checkShare(f, "fleet.weights.worst-team", s.Fleet.Weights.WorstTeam)
}

func (s *Settings) checkFailureDomains(f *diagnostic.List) {
	for i, t := range s.Fleet.FailureDomains {
		for n := range t {
			s.checkName(f, "fleet.failure-domains."+strconv.Itoa(i), n)
		}
	}
}

func (s *Settings) checkTLS(f *diagnostic.List) {
	t := s.Fleet.TLS
	s.checkCertificate(f, "fleet.tls.callers", t.Callers)
	s.checkCertificate(f, "fleet.tls.upstreams", t.Upstreams)
	s.checkCertificate(f, "fleet.tls.operators", t.Operators)
	s.checkCertificate(f, "fleet.tls.peers", t.Peers)
}

func (s *Settings) checkCertificate(f *diagnostic.List, field string, c Certificate) {
	if (c.CertificateFile == "") != (c.KeyFile == "") {
		s.addDiagnostic(f, field, "needs both a certificate-file and a key-file, or neither")
	}
	if c.RequireClientCertificate && (c.CAFile == "" || c.CertificateFile == "") {
		s.addDiagnostic(f, field+".mutual", "needs a certificate-file and an authority-file")
	}
}

func (s *Settings) checkLimits(f *diagnostic.List) {
	l := s.Limits
	s.checkInt(f, "limits.header-bytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes)
	s.checkInt(f, "limits.body-bytes", int64(l.BodyBytes), 1, maxBodyBytes)
	s.checkInt(f, "limits.file-bytes", l.FileBytes, 1, maxUploadBytes)
	s.checkInt(f, "limits.memory-bytes", l.MemoryBytes, 0, maxMemoryBytes)
	if m := l.MemoryBytes; m > 0 && l.RuntimeBytes() < l.ClientBytes()+l.LargeBytes()+hostBytes {
		s.addDiagnostic(f, "limits.memory-bytes", "is %d, too little for a request with body-bytes %d: at least %d", m, l.BodyBytes, l.minMemory())
	}
	if l.ClientMemoryBytes != 0 {
		s.checkInt(f, "limits.client-memory-bytes", l.ClientMemoryBytes, minBodies*int64(l.BodyBytes), maxMemoryBytes)
	}
	s.checkInt(f, "limits.header-lines", int64(l.HeaderLines), minHeaderLines, maxHeaderLines)
	if l.Descriptors != 0 {
		s.checkInt(f, "limits.descriptors", int64(l.Descriptors), minDescriptors, maxDescriptors)
	}
	s.checkInt(f, "limits.concurrency", int64(l.Concurrency), 1, maxConcurrency)
	s.checkDuration(f, "limits.connect-timeout", l.ConnectTimeout.Duration(), time.Millisecond, maxTimeout)
	s.checkDuration(f, "limits.stream-silence", l.StreamIdleTimeout.Duration(), time.Millisecond, maxTimeout)
	s.checkDuration(f, "limits.read-timeout", l.ReadTimeout.Duration(), time.Millisecond, maxTimeout)
}

func (s *Settings) checkInt(f *diagnostic.List, field string, v, low, high int64) {
	if v < low || v > high {
		s.addDiagnostic(f, field, "is %d, not %d to %d", v, low, high)
	}
}

func (s *Settings) checkDuration(f *diagnostic.List, field string, v, low, high time.Duration) {
	if v < low || v > high {
		s.addDiagnostic(f, field, "is %s, not %s to %s", v, low, high)
	}
}

func (s *Settings) checkRange(f *diagnostic.List, field string, v, most float64) {
	if v < 0 || v > most {
		s.addDiagnostic(f, field, "is %v, not 0 to %v", v, most)
	}
}

func (s *Settings) checkShare(f *diagnostic.List, field string, v float64) {
	if v < 0 || v > 1 {
		s.addDiagnostic(f, field, "is %v, not 0 to 1", v)
	}
}
