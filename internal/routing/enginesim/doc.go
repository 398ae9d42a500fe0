// Package enginesim simulates an inference engine with continuous batching and a prefix cache in virtual or real time.
package enginesim
