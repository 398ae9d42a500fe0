// Package candidate describes one upstream as the choice of an upstream sees it.
package candidate
