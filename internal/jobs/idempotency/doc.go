// Package idempotency remembers online calls that may not be repeated, and their answers.
package idempotency
