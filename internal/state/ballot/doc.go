// Package ballot describes the durable election state of a replica.
package ballot
