// Package fanout tells to which hosts rare news goes, so that no host of a large fleet talks to every other one.
package fanout
