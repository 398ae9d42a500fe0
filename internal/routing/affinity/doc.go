// Package affinity indexes which engines probably have which prompt prefixes cached.
package affinity
