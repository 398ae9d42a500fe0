// Package freshness implements the lease under which a host may rely on a configuration that a quorum confirmed.
package freshness
