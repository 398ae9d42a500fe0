// Package retry decides whether a request may be sent once more without adding to an outage.
package retry
