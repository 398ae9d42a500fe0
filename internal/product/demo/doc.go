// Package demo runs a fleet of three hosts with stand-in upstreams in one process.
package demo
