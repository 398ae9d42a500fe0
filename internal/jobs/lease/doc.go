// Package lease grants named leases with fencing numbers on behalf of a group's leader.
package lease
