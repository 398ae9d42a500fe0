// Package serve wires the parts of one host and runs them until it is told to stop.
package serve
