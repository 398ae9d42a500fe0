// Package probe measures what parts of the program cost at several sizes.
package probe
