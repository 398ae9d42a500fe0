// Package simulation simulates a fleet: it runs the decision packages together, from a seed and in virtual time.
package simulation
