// Package configcache holds one host's copy of the configuration and its freshness lease.
package configcache
