// Package item describes one leased item of a batch job.
package item
