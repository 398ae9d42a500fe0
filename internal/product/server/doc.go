// Package server builds the components of one host and runs them until the host is told to stop.
package server
