// Package rumour holds the messages by which hosts tell each other of hosts and upstreams.
package rumour
