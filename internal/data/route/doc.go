// Package route describes routes: the services that handle requests, their limits and their price.
package route
