package service

// Service is what the operators say of the upstreams of one name.
type Service struct {
	// HealthPath is where an upstream tells whether it is healthy, or empty.
	HealthPath string `json:"health-path,omitempty"`
	// Connections is the most connections that one upstream takes from all hosts together, 0 if unknown.
	Connections int `json:"connections,omitempty"`
	// Engine says that the upstreams generate tokens.
	Engine bool `json:"engine,omitempty"`
}
