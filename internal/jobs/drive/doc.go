// Package drive runs batch items on the upstreams that a host drives.
package drive
