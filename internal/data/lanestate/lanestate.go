package lanestate

import "siskinrun/internal/base/duration"

// State is the line of one service on one host for permits of its upstreams.
type State struct {
	// Waiting is the number of calls that wait.
	Waiting int `json:"waiting"`
	// Wait is how long one more call is likely to wait.
	Wait duration.Duration `json:"wait"`
	// InTime means that the call could still start in its caller's time.
	InTime bool `json:"in-time"`
}
