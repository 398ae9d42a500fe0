// Package web runs an HTTP server until it is told to stop.
package web
