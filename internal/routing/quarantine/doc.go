// Package quarantine decides which calls no upstream may get, since upstreams end when they begin to answer them.
package quarantine
