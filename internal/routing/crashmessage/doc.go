// Package crashmessage holds the messages by which hosts tell each other of calls whose upstream was lost.
package crashmessage
