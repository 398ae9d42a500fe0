// Package batchclient speaks the batch API of a fleet on behalf of a team.
package batchclient
