// Package listing holds what operators read of a fleet.
package listing
