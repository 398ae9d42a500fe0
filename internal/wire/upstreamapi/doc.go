// Package announce is the HTTP interface towards upstreams.
package upstreamapi
