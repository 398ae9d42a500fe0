// Package refill holds the messages by which hosts ask owners for rate units.
package refill
