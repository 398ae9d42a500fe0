// Package inquiry decides whether a connection to an upstream broke with its path or with the upstream.
package inquiry
