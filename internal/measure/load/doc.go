// Package load sends open-loop traffic to a fleet and checks every answer.
package load
