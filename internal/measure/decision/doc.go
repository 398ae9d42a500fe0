// Package decision describes the outcome of one call, the host that decided it and the reason.
package decision
