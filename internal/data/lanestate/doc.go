// Package lanestate describes the calls of a service that wait for a permit and what one more would get.
package lanestate
