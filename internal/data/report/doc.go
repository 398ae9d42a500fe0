// Package report describes the load that an upstream tells of.
package report
