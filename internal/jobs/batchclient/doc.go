// Package batchclient is a client of the batch API.
package batchclient
