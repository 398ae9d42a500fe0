// Package runner turns batch items into calls.
package runner
