// Package tunnelmessage holds the messages by which hosts connect to upstreams through each other.
package tunnelmessage
