// Package batchlimit limits the batch streams that run on an engine beside its online requests.
package batchlimit
