// Package costcurve describes how one cost grows with one dimension.
package costcurve
