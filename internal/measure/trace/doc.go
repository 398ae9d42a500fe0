// Package trace keeps the latest decisions of a host in bounded memory.
package trace
