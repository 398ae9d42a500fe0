// Package changeoutcome says what became of a change.
package changeoutcome
