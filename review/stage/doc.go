// Package stage runs a small deployment of real siskinrun processes on loopback addresses, with stand-ins for workers,
// clients and the operator, for the cases of the review.
package stage
