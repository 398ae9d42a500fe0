// Package packing compresses long messages between hosts.
package packing
