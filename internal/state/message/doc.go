// Package message describes what the members of a replica group tell each other.
package message
