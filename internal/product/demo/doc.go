// Package demo runs a small fleet with stand-in upstreams in one process.
package demo
