// Package summary describes the results of a load run.
package summary
