package settings

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"time"

	"siskinrun/internal/base/secret"
	"siskinrun/internal/base/span"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
	"siskinrun/internal/product/document"
	"siskinrun/internal/product/fault"
	"siskinrun/internal/routing/picker"
)

const (
	maxFileBytes = 16 << 20

	defaultLedgerGroups   = 4
	defaultDrain          = 20 * time.Second
	defaultFreshnessLease = 4 * time.Second
	defaultHeaderBytes    = 16 << 10
	defaultBodyBytes      = 4 << 20
	defaultFileBytes      = 256 << 20
	defaultConcurrency    = 4096
	defaultReadTimeout    = 30 * time.Second
	defaultStreamSilence  = 2 * time.Second
	defaultConnectTimeout = time.Second
)

// Settings are the facts of a fleet and the configuration to start from.
type Settings struct {
	// Site names the place that the overlay describes.
	Site string `json:"site"`
	// Fleet describes the hosts and what they share.
	Fleet Fleet `json:"fleet"`
	// Limits bound what a host takes from callers.
	Limits Limits `json:"limits"`
	// Teams are the teams by name.
	Teams map[string]team.Team `json:"teams"`
	// Routes are the routes by name.
	Routes map[string]route.Route `json:"routes"`
	// Models are the models by name.
	Models map[string]model.Model `json:"models"`

	// PeerSecret is shared by the hosts once ReadSecrets has read it.
	PeerSecret secret.Secret `json:"-"`
	// UpstreamSecret is shared with the upstreams once ReadSecrets has read it.
	UpstreamSecret secret.Secret `json:"-"`
	// OperatorSecret is shared with the operators once ReadSecrets has read it.
	OperatorSecret secret.Secret `json:"-"`

	root   *document.Document
	broken map[string]bool
}

// Fleet describes the hosts and what they share.
type Fleet struct {
	// Hosts are the hosts by name; where there are seeds, this host alone.
	Hosts map[string]Host `json:"hosts"`
	// Seeds are addresses of control hosts through which a host joins a fleet that no settings list.
	//
	// Hosts of such a fleet are named by the IP address of their peers' address and share its port;
	// the ports of the seeds do not matter.
	Seeds []string `json:"seeds,omitempty"`
	// Forming says that the control hosts among the seeds may form the replica groups, as at the first start.
	Forming bool `json:"forming,omitempty"`
	// TrustedNetwork does without the shared secrets, where nobody else can reach the hosts' addresses.
	TrustedNetwork bool `json:"trusted-network,omitempty"`
	// Dialect names the wire formats of callers, upstreams and operators, empty for the product's own.
	Dialect string `json:"dialect,omitempty"`
	// Losses is the number of disks that may be lost at once, 0 for as many as the first control hosts bear.
	Losses int `json:"losses,omitempty"`
	// FinishWithdrawn lets the calls that run when their key is withdrawn come to their end.
	FinishWithdrawn bool `json:"finish-withdrawn,omitempty"`
	// RateOverrun is the share by which teams may pass their rate and burst in a window.
	RateOverrun float64 `json:"rate-overrun,omitempty"`
	// RateWindow is that window.
	RateWindow span.Span `json:"rate-window,omitempty"`
	// RateSlack is the number of units that teams may pass them by besides.
	RateSlack int64 `json:"rate-slack,omitempty"`
	// Repair is how long a voter may be silent before a spare control host takes its place, 0s for never.
	Repair span.Span `json:"repair,omitempty"`
	// Heartbeat is how often upstreams announce themselves, 0s if unknown.
	Heartbeat span.Span `json:"heartbeat,omitempty"`
	// StopTimeout bounds how long a stopping host goes on, 0s for as long as calls take.
	StopTimeout span.Span `json:"stop-timeout,omitempty"`
	// PeerSecretFile holds the secret that hosts prove to each other.
	PeerSecretFile string `json:"peer-secret-file"`
	// UpstreamSecretFile holds the secret that upstreams show.
	UpstreamSecretFile string `json:"upstream-secret-file"`
	// OperatorSecretFile holds the secret that operators show.
	OperatorSecretFile string `json:"operator-secret-file"`
	// LedgerGroups is the number of replica groups of the batch ledger.
	LedgerGroups int `json:"ledger-groups"`
	// FreshnessLease is how long a host admits keyed requests on a confirmed configuration.
	FreshnessLease span.Span `json:"freshness-lease"`
	// Drain is how long a stopping host goes on answering before it closes its listeners.
	Drain span.Span `json:"drain"`
	// TLS holds the certificates of each side.
	TLS TLS `json:"tls"`
	// Weights say what the operators value.
	Weights Weights `json:"weights"`
}

// Host is one process of the system.
type Host struct {
	// FailureDomain is where the host runs.
	FailureDomain string `json:"failure-domain"`
	// Callers is the address that takes requests of callers.
	Callers string `json:"callers"`
	// Upstreams is the address that takes announcements of upstreams.
	Upstreams string `json:"upstreams"`
	// Operators is the address that takes requests of operators.
	Operators string `json:"operators"`
	// Readiness is an address of its own for the balancer's question, or empty.
	Readiness string `json:"readiness,omitempty"`
	// Control is the address that takes heartbeats and orders in a dialect, or empty.
	Control string `json:"control,omitempty"`
	// Metrics is an address that shows the metrics as text, or empty.
	Metrics string `json:"metrics,omitempty"`
	// Peers is the address that takes sessions of other hosts.
	Peers string `json:"peers"`
	// DataFolder is where a control host keeps the replicated state, or empty.
	DataFolder string `json:"data-folder,omitempty"`
	// Keeps names the state that a control host keeps, "configuration" or "ledgers"; empty means both.
	Keeps []string `json:"keeps,omitempty"`
	// Label is another name under which operators know the host, or empty.
	Label string `json:"label,omitempty"`
}

// TLS holds the certificates of each side, of which any may be absent.
type TLS struct {
	// Callers secures the callers' address.
	Callers Certificate `json:"callers"`
	// Upstreams secures the upstreams' address.
	Upstreams Certificate `json:"upstreams"`
	// Operators secures the operators' address.
	Operators Certificate `json:"operators"`
	// Peers secures the sessions between hosts.
	Peers Certificate `json:"peers"`
}

// Certificate names the files of one side's TLS.
type Certificate struct {
	// CertificateFile holds the certificate chain in PEM, or is empty without TLS.
	CertificateFile string `json:"certificate-file,omitempty"`
	// KeyFile holds the private key in PEM.
	KeyFile string `json:"key-file,omitempty"`
	// AuthorityFile holds the authorities that the other side's certificate is checked against.
	AuthorityFile string `json:"authority-file,omitempty"`
	// Mutual asks the other side for a certificate.
	Mutual bool `json:"mutual,omitempty"`
}

// Weights say how much the operators value each outcome, from 0 to 1.
type Weights struct {
	// BatchThroughput values finished batch items.
	BatchThroughput float64 `json:"batch-throughput"`
	// OnlineTail values the tail latency of online requests.
	OnlineTail float64 `json:"online-tail"`
	// WorstTeam values the worst-served team.
	WorstTeam float64 `json:"worst-team"`
	// Locality is the share of an upstream's slots by which one of the own failure domain may be busier.
	Locality float64 `json:"locality"`
}

// Limits bound what a host takes from callers.
type Limits struct {
	// HeaderBytes is the most bytes of a request's header.
	HeaderBytes int `json:"header-bytes"`
	// BodyBytes is the most bytes of a request's body.
	BodyBytes int `json:"body-bytes"`
	// FileBytes is the most bytes of an uploaded batch file.
	FileBytes int64 `json:"file-bytes"`
	// Concurrency is the most requests that a host holds at once.
	Concurrency int `json:"concurrency"`
	// ReadTimeout is the longest that a caller may take to send a request.
	ReadTimeout span.Span `json:"read-timeout"`
	// ConnectTimeout is the longest wait for a connection to an upstream or another host.
	ConnectTimeout span.Span `json:"connect-timeout"`
	// StreamSilence is the longest wait for the next byte of an answer that has begun.
	StreamSilence span.Span `json:"stream-silence"`
	// MemoryBytes is the memory that the process aims to stay under, 0 for no aim.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
}

// Load reads a base file and, unless its name is empty, the overlay of a site.
func Load(base, overlay string) (*Settings, error) {
	f := &fault.List{}
	d := read(base, f)
	if overlay != "" {
		o := read(overlay, f)
		if d != nil && o != nil {
			d = document.Merge(d, o)
		}
	}
	if d == nil {
		return nil, f
	}
	s := defaults()
	s.root = d
	d.Decode(s, f)
	s.broken = f.Fields()
	s.check(f)
	return s, f.Err()
}

const (
	// KeepsConfiguration names the replicated configuration among what a host keeps.
	KeepsConfiguration = "configuration"
	// KeepsLedgers names the batch ledgers among what a host keeps.
	KeepsLedgers = "ledgers"
)

// Holds reports whether the host keeps a kind of state.
func (h Host) Holds(kind string) bool {
	return h.DataFolder != "" && (len(h.Keeps) == 0 || slices.Contains(h.Keeps, kind))
}

// Joining reports whether the hosts find each other through seeds.
func (s *Settings) Joining() bool {
	return len(s.Fleet.Seeds) > 0
}

// ReadSecrets reads the shared secrets from their files; a trusted network has none.
func (s *Settings) ReadSecrets() error {
	if s.Fleet.TrustedNetwork {
		return nil
	}
	f := &fault.List{}
	for _, e := range []struct {
		field string
		path  *string
		to    *secret.Secret
	}{
		{"fleet.peer-secret-file", &s.Fleet.PeerSecretFile, &s.PeerSecret},
		{"fleet.upstream-secret-file", &s.Fleet.UpstreamSecretFile, &s.UpstreamSecret},
		{"fleet.operator-secret-file", &s.Fleet.OperatorSecretFile, &s.OperatorSecret},
	} {
		b, err := secret.Read(s.Path(e.field, *e.path))
		if err != nil {
			s.add(f, e.field, "%v", err)
		}
		*e.to = b
	}
	return f.Err()
}

// Path returns a file name relative to the settings file that gives it in a field.
func (s *Settings) Path(field, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(s.root.Find(field).File), name)
}

// Configuration returns the part that is replicated once it is applied.
func (s *Settings) Configuration() *configuration.Configuration {
	return &configuration.Configuration{
		Teams:  s.Teams,
		Keys:   map[string]key.Key{},
		Routes: s.Routes,
		Models: s.Models,
	}
}

// Print returns the merged settings as JSON with every default filled in and no secret.
func (s *Settings) Print() ([]byte, error) {
	return json.MarshalIndent(s, "", "  ")
}

// Control returns the sorted names of the hosts that keep the replicated state, as far as settings tell.
func (s *Settings) Control() []string {
	var n []string
	if s.Joining() {
		for _, a := range s.Fleet.Seeds {
			if h, _, err := net.SplitHostPort(a); err == nil {
				n = append(n, h)
			}
		}
		slices.Sort(n)
		return slices.Compact(n)
	}
	for h, v := range s.Fleet.Hosts {
		if v.DataFolder != "" {
			n = append(n, h)
		}
	}
	sort.Strings(n)
	return n
}

// Domains returns the failure domain of each host.
func (s *Settings) Domains() map[string]string {
	m := map[string]string{}
	for h, v := range s.Fleet.Hosts {
		m[h] = v.FailureDomain
	}
	return m
}

// Peers returns the address of each host for its peers.
func (s *Settings) Peers() map[string]string {
	m := map[string]string{}
	for h, v := range s.Fleet.Hosts {
		m[h] = v.Peers
	}
	return m
}

func (s *Settings) hosts() []string {
	var n []string
	for h := range s.Fleet.Hosts {
		n = append(n, h)
	}
	slices.Sort(n)
	return n
}

func defaults() *Settings {
	return &Settings{
		Fleet: Fleet{
			LedgerGroups:   defaultLedgerGroups,
			FreshnessLease: span.Span(defaultFreshnessLease),
			Drain:          span.Span(defaultDrain),
			Weights:        Weights{BatchThroughput: 1, OnlineTail: 1, WorstTeam: 1, Locality: picker.DefaultLocalityWeight},
		},
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes,
			BodyBytes:   defaultBodyBytes,
			FileBytes:   defaultFileBytes,
			Concurrency: defaultConcurrency,
			ReadTimeout: span.Span(defaultReadTimeout),

			ConnectTimeout: span.Span(defaultConnectTimeout),
			StreamSilence:  span.Span(defaultStreamSilence),
		},
		Teams:  map[string]team.Team{},
		Routes: map[string]route.Route{},
		Models: map[string]model.Model{},
	}
}

func read(file string, f *fault.List) *document.Document {
	b, err := os.ReadFile(file)
	if err != nil {
		f.Add(file, 0, "", "%v", err)
		return nil
	}
	if len(b) > maxFileBytes {
		f.Add(file, 0, "", "is larger than %d bytes", maxFileBytes)
		return nil
	}
	return document.Parse(file, b, f)
}
