// Package hostcount tells whether a host may be cut off from as many hosts as it reaches.
package hostcount
