// Package packing makes long messages between hosts shorter.
package packing
