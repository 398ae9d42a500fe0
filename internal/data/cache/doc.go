// Package cache describes what an engine tells about its prefix cache.
package cache
