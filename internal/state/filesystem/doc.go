// Package filesystem gives access to files that are appended to.
package filesystem
