// Package retry decides whether a request may be retried without adding load to an outage.
package retry
