// Package message describes the messages between the members of a replica group.
package message
