// Package call describes one request on its way through a host.
package call
