// Package groupstatus describes the status of a replica group for operators.
package groupstatus
