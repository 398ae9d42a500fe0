// Package sse reads server-sent events.
package sse
