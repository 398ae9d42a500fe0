// Package grantbalance defines how a host reports what is left of a grant; refill.GrantBalance is its wire form.
package grantbalance
