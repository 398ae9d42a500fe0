// Package event reads server-sent events whole.
package event
