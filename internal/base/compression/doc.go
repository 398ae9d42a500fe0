// Package compression compresses long messages between hosts.
package compression
