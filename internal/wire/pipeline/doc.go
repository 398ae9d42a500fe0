// Package pipe leads a call through identify, match, admit, queue and dispatch to its account.
package pipeline
