// Package meter holds the requests to an upstream to the rate that it names and to what it bears in a short span.
package meter
