// Package gossip spreads the state of hosts and upstreams by a gossip protocol, so that the views of all hosts converge.
package gossip
