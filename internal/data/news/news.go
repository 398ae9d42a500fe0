package news

import (
	"time"

	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
)

// News is what one host tells another; all ages are as of the sending.
type News struct {
	// From names the sending host.
	From string
	// Hosts are the hosts that the sender knows of.
	Hosts []Host
	// Announcements are upstreams with where their announcement arrived.
	Announcements []Announcement
	// Reports are the loads of upstreams.
	Reports []Report
	// Counts are the requests that hosts have in flight.
	Counts []Count
}

// Origin is the place of a piece of news among all that entered the fleet at one host.
type Origin struct {
	// Host names the host at which the news entered the fleet.
	Host string
	// Boot distinguishes the runs of that host.
	Boot uint64
	// Sequence grows with each piece of news of one run.
	Sequence uint64
}

// Host is the state of one host.
type Host struct {
	// Name names the host.
	Name string
	// FailureDomain is where the host runs, or empty if unknown.
	FailureDomain string
	// Boot distinguishes the runs of the host.
	Boot uint64
	// Refutation grows each time a run of the host finds itself declared dead.
	Refutation uint64
	// Label is the name under which operators know the host, empty if it is no other.
	Label string
	// Control says that the host keeps the replicated configuration.
	Control bool
	// Ledgers says that the host keeps batch ledgers.
	Ledgers bool
	// Stopping says that this run of the host takes on nothing more.
	Stopping bool
	// Dead says that no peer could reach the host.
	Dead bool
	// Sequence is the highest sequence known of the host's run.
	Sequence uint64
}

// Announcement is an upstream as announced at its origin.
type Announcement struct {
	// Origin is where the announcement arrived.
	Origin Origin
	// Age is the time since the upstream sent the announcement.
	Age time.Duration
	// Upstream is the announced back end.
	Upstream upstream.Upstream
}

// Report is the load of an upstream as reported at its origin.
type Report struct {
	// Origin is where the report arrived.
	Origin Origin
	// Age is the time since the load was measured.
	Age time.Duration
	// Report is the reported load.
	Report report.Report
}

// Count is the number of requests that one host has in flight at one upstream.
type Count struct {
	// Origin is the host that counts.
	Origin Origin
	// Age is the time since the count was last confirmed.
	Age time.Duration
	// Upstream names the upstream.
	Upstream string
	// InFlight is the number of requests.
	InFlight int
}
