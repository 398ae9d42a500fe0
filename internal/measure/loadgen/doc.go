// Package loadgen sends open-loop traffic to a fleet and checks every answer.
package loadgen
