// Package callerparts holds what a dialect needs to serve callers.
package callerdeps
