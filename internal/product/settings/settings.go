package settings

import (
	"encoding/json"
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/base/secret"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
	"siskinrun/internal/data/wholeruns"
	"siskinrun/internal/product/jsonc"
)

const (
	maxFileBytes = 16 << 20

	defaultLedgerGroups      = 4
	defaultDrainTime         = 20 * time.Second
	defaultFreshnessLease    = 4 * time.Second
	defaultHeaderBytes       = 16 << 10
	defaultBodyBytes         = 4 << 20
	defaultFileBytes         = 256 << 20
	defaultConcurrency       = 4096
	defaultHeaderLines       = 8192
	defaultReadTimeout       = 30 * time.Second
	defaultStreamIdleTimeout = 2 * time.Second
	defaultConnectTimeout    = time.Second
)

// Settings holds the settings of a fleet and the configuration that apply puts in force.
type Settings struct {
	// Site is the name of the site that the overlay describes.
	Site string `json:"site"`
	// Fleet describes the hosts and what they share.
	Fleet Fleet `json:"fleet"`
	// Limits bound the requests that a host accepts and its timeouts.
	Limits Limits `json:"limits"`
	// Teams are the teams by name.
	Teams map[string]team.Team `json:"teams"`
	// Routes are the routes by name.
	Routes map[string]route.Route `json:"routes"`
	// Models are the models by name.
	Models map[string]model.Model `json:"models"`

	// PeerSecret is shared by the hosts. ReadSecrets sets it.
	PeerSecret secret.Secret `json:"-"`
	// UpstreamSecret is shared with the upstreams. ReadSecrets sets it.
	UpstreamSecret secret.Secret `json:"-"`
	// OperatorSecret is shared with the operators. ReadSecrets sets it.
	OperatorSecret secret.Secret `json:"-"`

	document  *jsonc.Node
	undecoded map[string]bool
}

// Fleet describes the hosts and what they share.
type Fleet struct {
	// Hosts are the hosts by name. With seeds, it lists this host only.
	Hosts map[string]Host `json:"hosts"`
	// Seeds are addresses of control hosts through which a host joins a fleet whose hosts are not listed in settings.
	//
	// Hosts of such a fleet are named by the IP address of their peers' address and all use the same peers' port;
	// the ports of the seeds are ignored.
	Seeds []string `json:"seeds,omitempty"`
	// MayForm lets the control hosts among the seeds form the replica groups, as at the first start.
	MayForm bool `json:"forming,omitempty"`
	// TrustedNetwork disables the shared secrets, for networks where nobody else can reach the hosts' addresses.
	TrustedNetwork bool `json:"trusted-network,omitempty"`
	// Dialect names the wire formats of callers, upstreams and operators; empty means siskinrun's own.
	Dialect string `json:"dialect,omitempty"`
	// MaxDiskLosses is the number of disks that may be lost at once in a fleet with seeds; 0 means 1.
	MaxDiskLosses int `json:"losses,omitempty"`
	// FinishWithdrawn lets calls that are running when their key is withdrawn finish.
	FinishWithdrawn bool `json:"finish-withdrawn,omitempty"`
	// RateOverrun is the share by which teams may exceed their rate and burst within RateWindow.
	RateOverrun float64 `json:"rate-overrun,omitempty"`
	// RateWindow is the window of RateOverrun.
	RateWindow duration.Duration `json:"rate-window,omitempty"`
	// RateSlack is the number of units by which teams may exceed their rate and burst in addition to RateOverrun.
	RateSlack int64 `json:"rate-slack,omitempty"`
	// ColdOverrun is the factor by which a cold upstream bears more in one second than the rate that its service names.
	ColdOverrun float64 `json:"cold-overrun,omitempty"`
	// ColdSlack is the number of requests in one second that a cold upstream bears in addition to that.
	ColdSlack float64 `json:"cold-slack,omitempty"`
	// RepairAfter is how long a voter may be silent before a spare control host replaces it; 0s disables replacement.
	RepairAfter duration.Duration `json:"repair,omitempty"`
	// HeartbeatInterval is the interval at which upstreams announce themselves; 0s means unknown.
	HeartbeatInterval duration.Duration `json:"heartbeat,omitempty"`
	// StopTimeout bounds how long a stopping host waits for its calls; 0s waits for all of them.
	StopTimeout duration.Duration `json:"stop-timeout,omitempty"`
	// StopGrace is the time after which a host that was told to stop is killed; 0s means unknown.
	StopGrace duration.Duration `json:"stop-grace,omitempty"`
	// Profiles lets operators take runtime profiles of a host.
	Profiles bool `json:"profiles,omitempty"`
	// PeerSecretFile holds the secret with which hosts authenticate to each other.
	PeerSecretFile string `json:"peer-secret-file"`
	// UpstreamSecretFile holds the secret with which upstreams authenticate.
	UpstreamSecretFile string `json:"upstream-secret-file"`
	// OperatorSecretFile holds the secret with which operators authenticate.
	OperatorSecretFile string `json:"operator-secret-file"`
	// FailureDomains holds tables whose keys are the names of failure domains that operators may evacuate, besides those of
	// hosts and upstreams; the values are their regions. Null entries count as empty.
	FailureDomains []map[string]string `json:"failure-domains,omitempty"`
	// Evacuations says that operators evacuate failure domains: a host that has just started then waits longer for a configuration
	// that a quorum confirms before it serves open routes.
	Evacuations bool `json:"evacuations,omitempty"`
	// LedgerGroups is the number of replica groups of the batch ledger.
	LedgerGroups int `json:"ledger-groups"`
	// FreshnessLease is how long a host admits keyed requests after its configuration was confirmed as current.
	FreshnessLease duration.Duration `json:"freshness-lease"`
	// DrainTime is how long a stopping host keeps answering before it closes its listeners.
	DrainTime duration.Duration `json:"drain"`
	// TLS names the certificates of each kind of address.
	TLS TLS `json:"tls"`
	// CutOffRates lets a deputy in each of FailureDomains grant a share of the teams' rates while their owner can't be reached, if
	// there are two domains or more. The hosts of a fleet must agree on it and on FailureDomains.
	CutOffRates bool `json:"cut-off-rates,omitempty"`
	// GiveBackRate gives back what a call that is refused without having run spent of its team's rate.
	GiveBackRate bool `json:"give-back-rate,omitempty"`
	// DomainTraffic is the cost of a gigabyte between failure domains in answered calls that are worth as much. If it is there, it
	// replaces weights.locality for services whose upstreams report their pace.
	DomainTraffic *float64 `json:"domain-traffic,omitempty"`
	// WholeBatchRuns holds the services that keep batch runs whole: a run is preempted only for a call that has no other place. Calls
	// wait longer in bursts.
	WholeBatchRuns wholeruns.Scope `json:"whole-batch-runs,omitzero"`
	// JobsByDeadline has batch items leased in the order of their jobs' deadlines, on routes with a completion target.
	JobsByDeadline bool `json:"jobs-by-deadline,omitempty"`
	// PreferredUpstreams lets each host prefer a subset of the upstreams of each service, so that it opens fewer connections.
	PreferredUpstreams bool `json:"preferred-upstreams,omitempty"`
	// Weights are the weights of the operators' goals.
	Weights Weights `json:"weights"`
}

// Host holds the addresses, failure domain and storage of one host process.
type Host struct {
	// FailureDomain is the failure domain that the host runs in.
	FailureDomain string `json:"failure-domain"`
	// Callers is the address that accepts requests of callers.
	Callers string `json:"callers"`
	// Upstreams is the address that accepts announcements of upstreams.
	Upstreams string `json:"upstreams"`
	// Operators is the address that accepts requests of operators.
	Operators string `json:"operators"`
	// Readiness is a separate address for the load balancer's readiness check, or empty.
	Readiness string `json:"readiness,omitempty"`
	// Control is the address that accepts heartbeats and orders in a dialect, or empty.
	Control string `json:"control,omitempty"`
	// Metrics is an address that serves the metrics as text, or empty.
	Metrics string `json:"metrics,omitempty"`
	// Peers is the address that accepts sessions of other hosts.
	Peers string `json:"peers"`
	// DataFolder is the folder in which a control host stores the replicated state, or empty on other hosts.
	DataFolder string `json:"data-folder,omitempty"`
	// Keeps lists the kinds of state that a control host stores, "configuration" or "ledgers"; empty means both.
	Keeps []string `json:"keeps,omitempty"`
	// Label is another name under which operators know the host, or empty.
	Label string `json:"label,omitempty"`
}

// TLS names the certificates of each kind of address. Any of them may be absent.
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

// Certificate names the TLS files of one kind of address.
type Certificate struct {
	// CertificateFile holds the certificate chain in PEM; empty disables TLS.
	CertificateFile string `json:"certificate-file,omitempty"`
	// KeyFile holds the private key in PEM.
	KeyFile string `json:"key-file,omitempty"`
	// CAFile holds the certificate authorities that verify the other side's certificate.
	CAFile string `json:"authority-file,omitempty"`
	// RequireClientCertificate demands a certificate from the other side (mutual TLS).
	RequireClientCertificate bool `json:"mutual,omitempty"`
}

// Weights are the weights of the operators' goals, each from 0 to 1.
type Weights struct {
	// BatchThroughput is the weight of finished batch items.
	BatchThroughput float64 `json:"batch-throughput"`
	// OnlineTail is the weight of the tail latency of online requests.
	OnlineTail float64 `json:"online-tail"`
	// WorstTeam is the weight of the worst-served team.
	WorstTeam float64 `json:"worst-team"`
	// Locality is the share of its slots by which an upstream in the host's failure domain may be busier than one
	// elsewhere and still be picked.
	Locality float64 `json:"locality"`
}

// Limits bound the requests that a host accepts, its timeouts and its memory.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int `json:"header-bytes"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int `json:"body-bytes"`
	// FileBytes is the maximum size of an uploaded batch file.
	FileBytes int64 `json:"file-bytes"`
	// Concurrency is the maximum number of requests that a host holds at once.
	Concurrency int `json:"concurrency"`
	// ReadTimeout bounds the time in which a caller sends a request.
	ReadTimeout duration.Duration `json:"read-timeout"`
	// ConnectTimeout bounds the wait for a connection to an upstream or another host.
	ConnectTimeout duration.Duration `json:"connect-timeout"`
	// StreamIdleTimeout bounds the wait for the next byte of an answer that has begun.
	StreamIdleTimeout duration.Duration `json:"stream-silence"`
	// MemoryBytes is the memory of the machine that the process may take; 0 means no limit.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
	// ClientMemoryBytes bounds what callers, upstreams and operators hold; 0 means a third of what MemoryBytes leaves beside the
	// program, and at least four bodies.
	ClientMemoryBytes int64 `json:"client-memory-bytes,omitempty"`
	// HeaderLines is the maximum number of lines of a request's header section.
	HeaderLines int `json:"header-lines"`
	// Descriptors is the limit of the process's open descriptors; 0 means unknown.
	Descriptors int `json:"descriptors,omitempty"`
}

// Configuration returns the part that apply puts in force on the whole fleet, without keys.
func (s *Settings) Configuration() *configuration.Configuration {
	return &configuration.Configuration{
		Teams:  s.Teams,
		Keys:   map[string]key.Key{},
		Routes: s.Routes,
		Models: s.Models,
	}
}

// Print returns the merged settings as JSON with all defaults and without secrets.
func (s *Settings) Print() ([]byte, error) {
	return json.MarshalIndent(s, "", "  ")
}
