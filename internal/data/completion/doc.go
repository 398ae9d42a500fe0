// Package completion parses the parts of a completion request that routing needs.
package completion
