// Package match finds the route of a request.
package router
