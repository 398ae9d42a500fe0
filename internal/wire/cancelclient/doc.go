// Package engine speaks the protocol of model engines beside their completions.
package cancelclient
