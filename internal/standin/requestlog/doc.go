// Package requestlog records the requests that a stand-in received.
package requestlog
