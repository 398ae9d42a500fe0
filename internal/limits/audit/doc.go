// Package audit verifies that admissions stay within a rate and a burst over every span of time.
package audit
