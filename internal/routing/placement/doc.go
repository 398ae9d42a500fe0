// Package placement decides which engines hold which models and when a route moves to a new version.
package placement
