// Package modelengine models a model engine with continuous batching and a prefix cache in virtual or real time.
package modelengine
