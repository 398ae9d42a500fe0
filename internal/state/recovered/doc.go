// Package recovered describes the state of a replica as its disk holds it.
package recovered
