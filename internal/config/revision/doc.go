// Package revision describes one accepted version of the configuration.
package revision
