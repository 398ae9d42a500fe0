// Package chunkedbody reads the bodies of HTTP/1.1 answers that come in chunks.
package chunkedbody
