// Package route describes where a request goes and what it costs.
package route
