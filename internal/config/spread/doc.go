// Package spread brings each version of the configuration to every host and proves how fresh it is.
package spread
