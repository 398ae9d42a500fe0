// Package timer provides a clock and timers, on the machine's clock or advanced by hand in tests.
package timer
