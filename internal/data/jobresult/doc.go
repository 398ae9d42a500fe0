// Package jobresult describes the recorded result of an item of an inline job.
package jobresult
