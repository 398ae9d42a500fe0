package ask

import "siskinrun/internal/limits/holding"

// Ask is what a host wants from the owner of a team's bucket.
type Ask struct {
	// Team names the team.
	Team string
	// Host names the asking host.
	Host string
	// Boot distinguishes the runs of the asking host.
	Boot uint64
	// Sequence grows with each new ask of one host, run and team.
	Sequence uint64
	// Term is the term in which Holdings were granted.
	Term uint64
	// Least is the smallest useful grant, or zero if nobody waits.
	Least int64
	// Need is the number of units that requests wait for.
	Need int64
	// Want is the number of units for need and expected demand together.
	Want int64
	// Demand is the number of units asked for a second on this host.
	Demand int64
	// Earlier is the number of units that the host may still spend from grants of earlier terms.
	Earlier int64
	// Holdings are the grants that the host still has or hands back.
	Holdings []holding.Holding
}
