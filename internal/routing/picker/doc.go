// Package picker picks the upstream of each request from what this host and its peers know.
package picker
