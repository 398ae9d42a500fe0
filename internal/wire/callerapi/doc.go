// Package callerapi implements the HTTP API for callers: completions, services, files and batches.
package callerapi
