// Package streammessage holds the messages by which hosts tell each other what began a stream.
package streammessage
