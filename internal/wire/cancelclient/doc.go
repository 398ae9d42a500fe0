// Package cancelclient cancels calls at model engines over HTTP.
package cancelclient
