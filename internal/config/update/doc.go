// Package update describes the answer to a pull of the configuration between hosts.
package update
