// Package loadreport describes the load that an upstream reports.
package loadreport
