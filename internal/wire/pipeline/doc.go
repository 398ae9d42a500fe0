// Package pipeline runs the steps of a call: routing, authentication, admission, queueing, dispatch and accounting.
package pipeline
