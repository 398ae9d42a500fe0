// Package permit describes whether a request may be sent to an upstream that names a rate limit.
package permit
