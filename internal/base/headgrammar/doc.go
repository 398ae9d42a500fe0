// Package headgrammar checks the heads and trailers of HTTP/1.1 messages against the grammar of RFC 9112.
package headgrammar
