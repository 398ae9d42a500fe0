// Package key describes the API keys of callers.
package key
