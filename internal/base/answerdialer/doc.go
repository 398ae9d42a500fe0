// Package answerdialer opens the connections of HTTP/1.1 clients, and checks the heads of the answers that come on them.
package answerdialer
