// Package inflight counts the calls in flight on each upstream and passes the counts to the picker and the batch limiter.
package inflight
