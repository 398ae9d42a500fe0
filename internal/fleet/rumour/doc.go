// Package rumour holds the gossip messages about hosts and upstreams.
package rumour
