// Package demand describes what a request needs from an upstream.
package demand
