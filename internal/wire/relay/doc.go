// Package relay relays the event stream of an engine, whole events in order, and resumes it after a lost connection.
package relay
