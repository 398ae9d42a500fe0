// Package outcome says how an exchange with an upstream ended.
package outcome
