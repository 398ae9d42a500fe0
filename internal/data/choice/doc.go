// Package choice describes how the upstream of a request would be chosen.
package choice
