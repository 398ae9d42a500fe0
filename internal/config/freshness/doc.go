// Package freshness decides how long a configuration may be trusted after a quorum confirmed it.
package freshness
