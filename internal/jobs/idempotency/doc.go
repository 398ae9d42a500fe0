// Package idempotency records online calls that must not be repeated, and their answers.
package idempotency
