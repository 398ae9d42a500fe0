// Package validation checks a configuration as a whole.
package validation
