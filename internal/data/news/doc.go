// Package news describes the gossip that hosts exchange about hosts and upstreams.
package news
