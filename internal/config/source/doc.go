// Package source chooses the peers that a host asks for the configuration.
package source
