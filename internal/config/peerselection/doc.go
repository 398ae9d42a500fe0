// Package peerselection chooses the peers from which a host pulls the configuration.
package peerselection
