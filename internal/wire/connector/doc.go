// Package connector connects a host to upstreams, through other hosts where it does not reach them by itself.
package connector
