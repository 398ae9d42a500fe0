// Package key describes the credential that a caller shows.
package key
