package service

// Service is the configuration of the upstreams of one service.
type Service struct {
	// HealthPath is the path of an upstream's health check, or empty.
	HealthPath string `json:"health-path,omitempty"`
	// MaxConnections is the maximum number of connections to one upstream from all hosts together, 0 if unknown.
	MaxConnections int `json:"connections,omitempty"`
	// Engine means that the upstreams generate tokens.
	Engine bool `json:"engine,omitempty"`
}
