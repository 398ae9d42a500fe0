// Package frame defines the messages of the handshake and the calls between hosts.
package frame
