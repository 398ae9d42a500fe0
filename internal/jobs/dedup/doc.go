// Package dedup executes a call that must not be repeated at most once per idempotency key.
package dedup
