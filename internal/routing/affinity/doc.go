// Package affinity remembers which engines probably hold which prompt prefixes in their cache.
package affinity
