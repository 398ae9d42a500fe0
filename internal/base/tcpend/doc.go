// Package tcpend tells how a TCP connection ended.
package tcpend
