// Package replica decides, without clock or I/O, what one member of a replicated log does.
package replica
