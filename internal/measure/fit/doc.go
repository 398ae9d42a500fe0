// Package fit finds the straight line nearest to measured points.
package fit
