// Package listing holds the response bodies from which operators read the state of a fleet.
package listing
