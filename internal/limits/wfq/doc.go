// Package wfq implements a weighted fair queue (self-clocked fair queueing) with one flow per team.
package wfq
