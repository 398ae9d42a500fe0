// Package rpc carries calls between the hosts of a fleet over multiplexed TCP sessions.
package rpc
