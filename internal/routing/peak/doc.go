// Package peak keeps recent maxima of a count.
package peak
