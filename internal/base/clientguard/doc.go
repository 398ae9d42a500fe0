// Package clientguard keeps the memory and connections of a host's clients within bounds by closing connections.
package clientguard
