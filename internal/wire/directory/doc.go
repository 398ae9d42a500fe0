// Package directory answers questions about the teams and routes in force.
package directory
