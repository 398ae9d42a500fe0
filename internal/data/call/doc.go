// Package call describes one request and its state while a host handles it.
package call
