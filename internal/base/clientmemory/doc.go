// Package clientmemory decides which clients of a host may hold memory and connections, and which are evicted.
package clientmemory
