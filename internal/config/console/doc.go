// Package console speaks to the operators' address of a fleet.
package console
