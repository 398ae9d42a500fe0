// Package web runs an HTTP server and shuts it down gracefully.
package web
