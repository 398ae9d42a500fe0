// Package membership decides which hosts and upstreams exist from what hosts tell each other.
package membership
