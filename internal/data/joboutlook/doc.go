// Package joboutlook describes what would become of a batch job that is submitted.
package joboutlook
