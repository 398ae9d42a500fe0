// Package directory looks up teams and routes in the configuration in force.
package directory
