// Package change describes one step that an operator takes in the configuration.
package change
