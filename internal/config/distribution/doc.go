// Package distribution brings each version of the configuration to every host and tracks how fresh each copy is.
package distribution
