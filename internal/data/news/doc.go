// Package news describes what hosts tell each other of hosts and upstreams.
package news
