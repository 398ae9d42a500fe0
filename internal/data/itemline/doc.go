// Package itemline describes one line of a job's input.
package itemline
