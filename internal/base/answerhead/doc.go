// Package answerhead looks at the heads and trailers of HTTP/1.1 answers that stand in a buffer, before they are read.
package answerhead
