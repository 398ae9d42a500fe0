// Package ask defines a host's request for rate units of a team; refill.Ask is its wire form.
package ask
