// Package host describes a host of the fleet.
package host
