// Package effect describes what a replica asks its driver to do.
package effect
