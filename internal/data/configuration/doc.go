// Package configuration holds what operators decide for the whole fleet.
package configuration
