// Package streamregistry keeps what began each stream on a few hosts that any host can find by the ID of the call.
package streamregistry
