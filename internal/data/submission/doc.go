// Package submission describes the request to create a batch job.
package submission
