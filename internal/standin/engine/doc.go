// Package engine simulates a model engine with continuous batching and a prefix cache.
package engine
