// Package hashset is a compact set of hashes.
package hashset
