// Package membership merges gossip from other hosts into one host's view of hosts, upstreams and loads.
package membership
