// Package cache describes the events of an engine's prefix cache.
package cache
