// Package document reads JSON with comments and remembers where each value was written.
package document
