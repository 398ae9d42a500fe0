package gossipmessage

import (
	"time"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
)

// Message is a gossip message from one host to another. All ages are relative to the time of sending.
type Message struct {
	// From is the name of the sending host.
	From string
	// Hosts are the hosts that the sender knows.
	Hosts []Host
	// Fingerprint stands for the states of all hosts that the sender knows, without their sequences; zero if Hosts lists them.
	Fingerprint uint64
	// Sequences are the sequences of the hosts of Fingerprint, ordered by the names of the hosts.
	Sequences []uint64
	// Mismatch says that the answering host knows other hosts than those of the digest's fingerprint, and lists them.
	Mismatch bool
	// Announcements are the announcements of upstreams, with their origins.
	Announcements []Announcement
	// Reports are the loads of upstreams.
	Reports []Report
	// Counts are the numbers of requests that hosts have in flight.
	Counts []Count
	// Occupancies are the numbers of requests on upstreams, as summed by the hosts that drive their batch work.
	Occupancies []Occupancy
}

// Origin identifies the host at which an item entered the fleet, and orders it among the items of that host.
type Origin struct {
	// Host is the name of the host at which the item entered the fleet.
	Host string
	// Boot distinguishes the runs of that host.
	Boot uint64
	// Sequence grows with each item of one run.
	Sequence uint64
}

// Host is the state of one host.
type Host struct {
	// Name names the host.
	Name string
	// FailureDomain is the failure domain of the host, or empty if unknown.
	FailureDomain string
	// Boot distinguishes the runs of the host.
	Boot uint64
	// Refutation grows each time a run of the host refutes that it was declared dead.
	Refutation uint64
	// Label is the operators' name for the host, empty if it is the same.
	Label string
	// Control means that the host stores the replicated configuration.
	Control bool
	// Ledgers means that the host stores batch ledgers.
	Ledgers bool
	// Replica means that this run of the host has held a replica of a batch ledger.
	Replica bool
	// Features are the features of the replicated configuration that this run of the host knows.
	Features feature.Set
	// Stopping means that this run of the host accepts no new work.
	Stopping bool
	// Dead means that no peer could reach the host.
	Dead bool
	// Sequence is the highest known sequence of the host's run.
	Sequence uint64
}

// Announcement is an upstream as announced at its origin.
type Announcement struct {
	// Origin is where the announcement arrived.
	Origin Origin
	// Age is the time since the upstream sent the announcement.
	Age time.Duration
	// Upstream is the announced upstream.
	Upstream upstream.Upstream
}

// Report is the load of an upstream as reported at its origin.
type Report struct {
	// Origin is where the report arrived.
	Origin Origin
	// Age is the time since the load was measured.
	Age time.Duration
	// Report is the reported load.
	Report loadreport.Report
}

// Count is the number of requests that one host has in flight at one upstream.
type Count struct {
	// Origin is the host that counts.
	Origin Origin
	// Age is the time since the count was last confirmed.
	Age time.Duration
	// Upstream is the name of the upstream.
	Upstream string
	// InFlight is the number of online requests in flight.
	InFlight int
	// Batch is the number of batch requests in flight.
	Batch int
	// Pace is the latest pace of the upstream that the sender knows, zero if there is none.
	Pace int
	// PaceAge is the time since the pace was measured.
	PaceAge time.Duration
}

// Occupancy is the number of requests of all hosts at one upstream.
type Occupancy struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Age is the time since the sum was taken.
	Age time.Duration
	// Online is the number of online requests.
	Online int
	// Batch is the number of batch requests.
	Batch int
	// Pace is the latest pace of the upstream that the sender knows, zero if there is none.
	Pace int
	// PaceAge is the time since the pace was measured.
	PaceAge time.Duration
}
