// Package requestdigest identifies requests that are the same but for their IDs and headers.
package requestdigest
