// Package spreadwire holds the messages by which hosts distribute the configuration.
package spreadwire
