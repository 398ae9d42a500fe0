// Package group starts goroutines that end together.
package group
