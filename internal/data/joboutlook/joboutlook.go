package joboutlook

import "siskinrun/internal/base/duration"

// Accepted is the outcome of a job that would be accepted.
const Accepted = "accepted"

// Outlook is what would become of a batch job whose items are submitted with it.
type Outlook struct {
	// Group is the replica group that would keep the job.
	Group uint32 `json:"group"`
	// Leader is the host that leads the group, empty if it could not be asked.
	Leader string `json:"leader,omitempty"`
	// Outcome is Accepted or the code of the refusal.
	Outcome string `json:"outcome"`
	// Tokens is the sum of the tokens of the items.
	Tokens int64 `json:"tokens"`
	// OpenTokens is the number of tokens of the team's open items on the route, of TokenLimit; zero is no limit.
	OpenTokens int64 `json:"open-tokens"`
	// TokenLimit is the number of tokens that the team may have open on the route, zero for no limit.
	TokenLimit int64 `json:"token-limit"`
	// Target is the agreed time from acceptance to the last result, zero if there is none.
	Target duration.Duration `json:"target"`
	// Window is the time after which unfinished items may be given up.
	Window duration.Duration `json:"window"`
	// Ready is the number of items of the route that wait in the group, TeamReady those of the team.
	Ready uint64 `json:"ready"`
	// TeamReady is the number of the team's items of the route that wait in the group.
	TeamReady uint64 `json:"team-ready"`
	// Leased is the number of items of the route that run.
	Leased uint64 `json:"leased"`
}
