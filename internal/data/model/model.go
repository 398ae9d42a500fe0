package model

// Model is a set of weights with its versions and adapters.
type Model struct {
	// Versions are the versions that may be loaded, newest last.
	Versions []string `json:"versions"`
	// Adapters are the adapters that may be loaded with the model.
	Adapters []string `json:"adapters,omitempty"`
	// MinReplicas is the minimum number of engines that hold the newest version.
	MinReplicas int `json:"replicas,omitempty"`
	// ContextTokens is the context length, the maximum number of tokens of a prompt and its answer together.
	ContextTokens int64 `json:"context"`
}
