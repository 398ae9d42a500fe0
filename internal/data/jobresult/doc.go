// Package jobresult describes the recorded end of an item of an inline job.
package jobresult
