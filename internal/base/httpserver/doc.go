// Package httpserver runs an HTTP server and shuts it down gracefully.
package httpserver
