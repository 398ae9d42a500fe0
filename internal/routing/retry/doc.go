// Package retry decides whether a request may be retried or hedged without adding load to an outage.
package retry
