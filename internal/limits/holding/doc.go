// Package holding describes what a host has left of a grant of rate units.
package holding
