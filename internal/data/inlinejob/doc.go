// Package inlinejob describes a batch job that is submitted together with its items.
package inlinejob
