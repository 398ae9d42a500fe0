// Package inlinejob describes a batch job that comes with its items.
package inlinejob
