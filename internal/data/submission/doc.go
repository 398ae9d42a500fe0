// Package submission describes the request for a batch job.
package submission
