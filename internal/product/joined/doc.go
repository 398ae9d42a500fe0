// Package joined runs the decision packages joined together, from a seed and in virtual time.
package joined
