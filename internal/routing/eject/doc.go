// Package eject decides which upstreams get no work because they fail, stay silent or are slow.
package eject
