// Package record describes the record of a finished call.
package record
