// Package ratestate describes the units of a team on one host and what a request of the team would get.
package ratestate
