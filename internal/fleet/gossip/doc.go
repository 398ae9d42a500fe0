// Package gossip keeps the views of hosts and upstreams of all hosts in agreement by a gossip protocol.
package gossip
