// Package refill holds the protobuf messages with which hosts request rate units from the owners of buckets.
package refill
