// Package tunnel carries connections to upstreams through other hosts.
//
// The host that a connection passes through copies bytes and decides nothing. How the upstream ended its side crosses the
// tunnel, so that a reset does not look like a close.
package tunnel
