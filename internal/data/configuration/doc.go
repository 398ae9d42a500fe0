// Package configuration describes the configuration that operators set for the whole fleet.
package configuration
