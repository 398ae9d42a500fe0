// Package grantreply defines the answer of a bucket's owner to a request; refill.GrantReply is its wire form.
package grantreply
