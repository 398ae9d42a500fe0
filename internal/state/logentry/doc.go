// Package logentry describes one entry of a replicated log.
package logentry
