// Package gossipwire holds the gossip messages about hosts and upstreams.
package gossipwire
