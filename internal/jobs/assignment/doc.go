// Package assignment assigns the batch work of each upstream to a host.
package assignment
