// Package runner sends batch items to upstreams as calls.
package runner
