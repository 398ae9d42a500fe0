// Package summary describes what a load run saw.
package summary
