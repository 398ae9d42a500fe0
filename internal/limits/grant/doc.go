// Package grant limits the rate of each team across the fleet: the owner of a team's bucket grants units to hosts,
// which spend them locally and return what they do not use.
package grant
