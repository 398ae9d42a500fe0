// Package occupancy counts the calls in work on each upstream and tells those who decide by it.
package occupancy
