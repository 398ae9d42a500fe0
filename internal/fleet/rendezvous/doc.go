// Package rendezvous ranks hosts for a key by rendezvous hashing over failure domains.
package rendezvous
