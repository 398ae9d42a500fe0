// Package report describes the load that an upstream reports.
package report
