package grantrequest

import "siskinrun/internal/limits/grantbalance"

// Request is a request of a host to the owner of a team's bucket. It also reports what became of earlier grants.
type Request struct {
	// Team is the name of the team.
	Team string
	// Host is the name of the asking host.
	Host string
	// Boot identifies the run of the asking host; later runs have greater values.
	Boot uint64
	// Sequence increases with each new request of a host's run for a team; a resent request keeps it.
	Sequence uint64
	// Term is the owner's term in which Balances were granted.
	Term uint64
	// Least is the smallest useful grant, or zero if no request waits.
	Least int64
	// Need is the number of units that waiting requests lack.
	Need int64
	// Want is the number of units that need and expected demand take together.
	Want int64
	// Demand is the average demand on the host, in units per second.
	Demand int64
	// Earlier is the number of units that the host can still spend from grants of earlier terms.
	Earlier int64
	// Balances are the states of the host's grants of Term.
	Balances []grantbalance.Balance
}
