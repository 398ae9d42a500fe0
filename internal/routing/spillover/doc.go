// Package spillover decides which share of a service's calls leaves the own failure domain, and where to.
package spillover
