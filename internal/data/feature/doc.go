// Package feature names what builds add to the replicated configuration, so that hosts of two builds can keep one log.
package feature
