// Package callerdeps holds the dependencies of a dialect that serves callers.
package callerdeps
