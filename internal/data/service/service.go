package service

import "siskinrun/internal/base/duration"

// Service is the configuration of the upstreams of one service.
type Service struct {
	// HealthPath is the path of an upstream's health check, or empty.
	HealthPath string `json:"health-path,omitempty"`
	// MaxConnections is the maximum number of connections to one upstream from all hosts together, 0 if unknown.
	MaxConnections int `json:"connections,omitempty"`
	// Engine means that the upstreams generate tokens.
	Engine bool `json:"engine,omitempty"`
	// ColdTime is how long an upstream is cold after a start, 0 if unknown.
	ColdTime duration.Duration `json:"cold,omitempty"`
	// ColdRate is the number of requests a second that a cold upstream bears, 0 if nothing bounds them.
	ColdRate float64 `json:"cold-rate,omitempty"`
}
