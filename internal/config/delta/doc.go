// Package delta computes, encodes and applies the differences between versions of the configuration.
package delta
