// Package subset chooses the upstreams that a host prefers, so that it returns to them while its connections are still open.
package subset
