// Package pace spreads the requests to one upstream over time, up to the rate that the upstream names.
package pace
