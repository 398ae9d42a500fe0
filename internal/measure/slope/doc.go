// Package slope describes how one cost grows with one size.
package slope
