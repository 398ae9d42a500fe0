// Package exchange sends a call to an upstream over connections that are never shared or reused when in doubt.
package transport
