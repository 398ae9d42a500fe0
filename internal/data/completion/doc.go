// Package completion reads the parts of a completion request that routing needs.
package completion
