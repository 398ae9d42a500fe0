// Package lease grants named leases with fencing tokens on behalf of a group's leader.
package lease
