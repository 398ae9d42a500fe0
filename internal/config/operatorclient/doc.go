// Package operatorclient is a client of the operators' API of a fleet.
package operatorclient
