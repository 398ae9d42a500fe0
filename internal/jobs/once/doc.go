// Package once runs a call that may not be repeated at most once for each idempotency key.
package once
