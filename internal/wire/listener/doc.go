// Package listener accepts connections of callers, detects their disconnects and closes idle ones.
package listener
