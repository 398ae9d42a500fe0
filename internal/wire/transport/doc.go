// Package transport sends calls to upstreams over HTTP/1.1 and reuses a connection only after a complete answer.
package transport
