// Package grantrequest defines a host's request for rate units of a team; refill.GrantRequest is its wire form.
package grantrequest
