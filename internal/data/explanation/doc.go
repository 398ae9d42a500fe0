// Package explanation describes where a request would go from one host, and why.
package explanation
