// Package regression fits a straight line to points by least squares.
package regression
