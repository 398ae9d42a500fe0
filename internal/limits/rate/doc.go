// Package rate keeps the bucket of rate units of one team at its owner.
package rate
