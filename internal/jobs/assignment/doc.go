// Package assignment decides which host should drive the batch work of an upstream.
package assignment
