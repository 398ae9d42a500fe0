// Package event reads server-sent events.
package event
