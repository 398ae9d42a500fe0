// Package caller is the HTTP interface towards callers.
package callerapi
