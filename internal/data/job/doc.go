// Package job describes a batch job.
package job
