// Package ballot describes what a replica must remember about elections.
package ballot
