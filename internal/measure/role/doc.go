// Package role adds measured costs up for each role of a host at the target size.
package role
