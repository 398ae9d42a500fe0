// Package peak remembers the most that a count has been of late.
package peak
