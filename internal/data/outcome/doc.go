// Package outcome classifies how an exchange with an upstream ended.
package outcome
