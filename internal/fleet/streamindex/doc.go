// Package streamindex holds what began each of the latest streams, in bounded memory.
package streamindex
