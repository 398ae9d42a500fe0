// Package group runs goroutines that are cancelled together.
package group
