// Package changeoutcome describes the outcome of a change.
package changeoutcome
