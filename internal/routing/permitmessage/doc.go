// Package permitmessage holds the messages with which hosts share the rate limits of upstreams.
package permitmessage
