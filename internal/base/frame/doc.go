// Package frame holds the messages that open sessions and carry calls between hosts.
package frame
