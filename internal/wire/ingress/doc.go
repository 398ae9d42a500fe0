// Package ingress serves callers over HTTP in any dialect. It cancels the calls of callers that disconnect and drains
// connections on shutdown.
package ingress
