// Package roster keeps every host's view of hosts and upstreams current.
package roster
