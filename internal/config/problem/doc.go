// Package problem finds what is wrong with a configuration as a whole.
package problem
