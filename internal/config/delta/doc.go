// Package delta holds the parts in which two versions of the configuration differ.
package delta
