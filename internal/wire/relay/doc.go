// Package relay passes the events of an engine on, whole and in order, through lost connections.
package relay
