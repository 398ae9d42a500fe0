// Package upstreamapi implements the HTTP API for upstreams: announcements, load reports, cache events and leaves.
package upstreamapi
