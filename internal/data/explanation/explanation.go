package explanation

import (
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/joboutlook"
	"siskinrun/internal/data/ratestate"
	"siskinrun/internal/data/serviceoutlook"
)

// Explanation is what one host would do with a request that it got now.
type Explanation struct {
	// Host is the host that would get the request.
	Host string `json:"host"`
	// FailureDomain is the failure domain of the host.
	FailureDomain string `json:"failure-domain"`
	// At is when the host decided.
	At time.Time `json:"at"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Confirmed is the time since a quorum confirmed the configuration, nil if none has.
	Confirmed *duration.Duration `json:"confirmed-age,omitempty"`
	// Fresh means that requests with a key are admitted under the configuration.
	Fresh bool `json:"fresh"`
	// Team is the team that pays, empty on an open route.
	Team string `json:"team,omitempty"`
	// Route is the name of the route.
	Route string `json:"route"`
	// Rank is the priority of the request.
	Rank int `json:"rank"`
	// Timeout is the time that the caller has.
	Timeout duration.Duration `json:"timeout"`
	// LatestStart is the time within which the request must start to be answered in its caller's time.
	LatestStart duration.Duration `json:"latest-start"`
	// Rate is the rate of the team, nil on an open route.
	Rate *ratestate.State `json:"rate,omitempty"`
	// Job is what would become of the request as a batch job, nil on a route that takes none.
	Job *joboutlook.Outlook `json:"job,omitempty"`
	// Services are the services of the route: one, or all of a split.
	Services []serviceoutlook.Outlook `json:"services"`
}
