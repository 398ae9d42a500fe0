// Package change describes one change that an operator makes to the configuration.
package change
