// Package reply describes what the head of an upstream's answer tells of the exchange.
package reply
