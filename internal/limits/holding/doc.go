// Package holding defines how a host reports what is left of a grant; refill.Holding is its wire form.
package holding
