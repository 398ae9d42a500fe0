// Package rolecost sums measured costs for each role of a host at the target size.
package rolecost
