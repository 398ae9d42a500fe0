// Package paceestimate estimates how long work takes at an upstream now from reports of its pace.
package paceestimate
