// Package formation records the one-time formation of the replica groups by the control hosts.
package formation
