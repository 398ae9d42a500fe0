// Package order describes what an engine is told to do.
package order
