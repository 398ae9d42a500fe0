// Package framing names how an answer says where its body ends.
package framing
