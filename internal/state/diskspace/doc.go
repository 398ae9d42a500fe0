// Package diskspace lets writers wait while their disk is full.
package diskspace
