// Package spreadwire holds the messages by which hosts spread the configuration.
package spreadwire
