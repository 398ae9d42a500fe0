// Package callrecord describes the record of a finished call.
package callrecord
