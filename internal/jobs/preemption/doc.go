// Package preemption chooses the batch runs of an upstream that stop for online calls.
package preemption
