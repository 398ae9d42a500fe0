// Package record describes what became of one call.
package record
