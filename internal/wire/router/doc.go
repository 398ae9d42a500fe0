// Package router finds the route of a request.
package router
