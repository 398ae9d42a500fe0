// Package upstreamlimit describes what a host knows of the rate limit of one upstream.
package upstreamlimit
