// Package gossipmessage describes the gossip that hosts exchange about hosts and upstreams.
package gossipmessage
