// Package ejection ejects upstreams that fail, stay silent or are slow, and probes them before their return.
package ejection
