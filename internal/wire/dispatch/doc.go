// Package dispatch sends a call to upstreams until one answers or no further attempt is allowed, and resumes broken
// streams.
package dispatch
