// Package recovered describes the state that a replica recovers from its disk.
package recovered
