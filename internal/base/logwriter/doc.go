// Package logwriter writes log lines without blocking the goroutines that log.
package logwriter
