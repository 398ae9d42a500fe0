// Package executor leases batch items from the ledgers and runs them on the upstreams that this host has claimed.
package executor
